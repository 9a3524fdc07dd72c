#include "Problem.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

auto problemObject (const Problem& problem, std::string_view requestId) -> json::object
{
    const auto& description = errorDescription (problem.kind);

    json::object object;
    object["type"] = "about:blank";
    object["title"] = description.title;
    object["status"] = description.status;
    object["kind"] = description.name;
    object["ran"] = toString (problem.ran);
    object["request_id"] = requestId;

    if (! problem.detail.empty())
        object["detail"] = problem.detail;

    // OpenAI-compatible client libraries read this member.
    object["error"] = { { "message",
                          problem.detail.empty() ? description.title : std::string_view (problem.detail) },
                        { "type", description.name },
                        { "code", description.name } };
    return object;
}

} // namespace

auto makeProblem (ErrorKind kind, std::string detail) -> Problem
{
    const auto& description = errorDescription (kind);
    return { kind, description.ran, std::move (detail), description.retryAfter };
}

auto makeProblem (ErrorKind kind, Ran ran, std::string detail) -> Problem
{
    auto problem = makeProblem (kind, std::move (detail));
    problem.ran = ran;
    return problem;
}

auto withRetry (Problem problem, Duration retryAfter) -> Problem
{
    if (retryAfter > Duration::zero())
        problem.retryAfter = retryAfter;

    return problem;
}

auto problemBody (const Problem& problem, std::string_view requestId, const json::object& extra)
    -> std::string
{
    auto object = problemObject (problem, requestId);

    for (const auto& member : extra)
        object[member.key()] = member.value();

    return json::serialize (object);
}

} // namespace snowrudder
