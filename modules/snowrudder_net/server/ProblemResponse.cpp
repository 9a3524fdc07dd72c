#include "ProblemResponse.h"

#include <algorithm>

namespace snowrudder
{

auto problemResponse (const Problem& problem, std::string_view requestId, const boost::json::object& extra)
    -> HttpResponse
{
    HttpResponse response (static_cast<http::status> (errorDescription (problem.kind).status), 11);
    response.set (http::field::content_type, "application/problem+json");

    if (! requestId.empty())
        response.set ("Snowrudder-Request-Id", toBeast (requestId));

    // HTTP defines Retry-After in whole seconds.
    if (problem.retryAfter)
    {
        const auto seconds = std::max (1s, std::chrono::ceil<std::chrono::seconds> (*problem.retryAfter));
        response.set (http::field::retry_after, std::to_string (seconds.count()));
    }

    response.body() = problemBody (problem, requestId, extra);
    return response;
}

} // namespace snowrudder
