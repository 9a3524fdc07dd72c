#include "EditHandler.h"

#include "../spread/TreeSpread.h"
#include "AdminResponses.h"

#include <charconv>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto acceptTimeout = 6s;
constexpr auto retryInterval = 200ms;
constexpr auto editHeader = "Snowrudder-Edit-Id";

auto actionOf (http::verb method) -> EditAction
{
    if (method == http::verb::patch)
        return EditAction::merge;

    return method == http::verb::delete_ ? EditAction::remove : EditAction::replace;
}

/** @returns the revision in `If-Match`, quoted or not; nothing if the header is missing or malformed. */
auto baseRevision (const Exchange& exchange) -> std::optional<std::uint64_t>
{
    auto text = exchange.header ("If-Match");

    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr (1, text.size() - 2);

    auto revision = std::uint64_t { 0 };
    const auto parsed = std::from_chars (text.data(), text.data() + text.size(), revision);
    const auto isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return ! text.empty() && isWhole ? std::optional (revision) : std::nullopt;
}

/** @returns the edit described by a request, or the problem with the request. */
auto readEdit (const Exchange& exchange, const std::string& author) -> std::variant<EditRequest, Problem>
{
    EditRequest editRequest;
    editRequest.author = author;
    editRequest.nowSeconds = static_cast<std::uint64_t> (
        std::chrono::duration_cast<std::chrono::seconds> (wallTimeNow().time_since_epoch()).count());
    editRequest.id = std::string (exchange.header (editHeader));

    if (editRequest.id.empty())
        editRequest.id = toString (makeUuid (wallTimeNow()));
    else if (! isValidName (editRequest.id))
        return makeProblem (ErrorKind::invalidRequest,
                            std::string (editHeader) + " must be 1 to 63 of a-z, 0-9 and '-'");

    const auto revision = baseRevision (exchange);

    if (! revision)
        return makeProblem (ErrorKind::invalidRequest,
                            "If-Match must give the revision that the edit starts from");

    editRequest.baseRevision = *revision;
    editRequest.edit.action = actionOf (exchange.request().method());
    editRequest.edit.path = settingsPath (exchange);

    if (editRequest.edit.action == EditAction::remove)
        return editRequest;

    auto value = parseTree (exchange.request().body());

    if (! value)
        return makeProblem (ErrorKind::invalidRequest, "the body is not JSON");

    editRequest.edit.value = std::move (*value);
    return editRequest;
}

auto countHolders (const std::vector<RouterRevision>& routers, std::uint64_t revision) -> std::int64_t
{
    return std::ranges::count_if (routers, [revision] (const RouterRevision& router)
                                  { return router.revision >= revision; });
}

auto respondConflict (Exchange& exchange, const EditResult& result) -> Task<void>
{
    auto extra = json::object();
    extra["revision"] = result.tree.revision;

    if (result.baseTree)
        extra["changes"] = changesJson (diffTrees (result.baseTree->tree, result.tree.tree));

    co_await respondProblem (exchange, makeProblem (ErrorKind::editConflict), extra);
}

auto respondInvalid (Exchange& exchange, const EditResult& result) -> Task<void>
{
    auto extra = json::object();
    extra["errors"] = errorsJson (result.errors);
    co_await respondProblem (exchange, makeProblem (ErrorKind::settingsInvalid), extra);
}

/** Distributes a stored revision to the routers and responds whether it is accepted. */
auto respondStored (AdminState& state,
                    Exchange& exchange,
                    const EditRequest& editRequest,
                    const EditResult& result) -> Task<void>
{
    const auto revision = result.tree.revision;
    const auto routerRevisions = co_await distributeRevision (state, result.tree, acceptTimeout);
    const auto accepted = isAccepted (routerRevisions, revision);

    LogLine ("edit")
        .with ("edit_id", editRequest.id)
        .with ("author", editRequest.author)
        .with ("revision", revision)
        .with ("accepted", accepted ? "yes" : "no")
        .with ("held_by", countHolders (routerRevisions, revision))
        .info();

    json::object body;
    body["accepted"] = accepted;
    body["revision"] = revision;
    body["edit_id"] = editRequest.id;
    body["held_by"] = countHolders (routerRevisions, revision);

    if (! accepted)
        body["detail"] =
            "stored, but too few routers are known to hold it; ask again with the same edit identifier";

    co_await respondJsonBody (exchange, accepted ? http::status::ok : http::status::accepted, body);
}

auto respondResult (AdminState& state,
                    Exchange& exchange,
                    const EditRequest& editRequest,
                    const EditResult& result) -> Task<void>
{
    // An earlier attempt with this identifier may have stored the edit, so the response must not state that nothing was
    // changed.
    const auto mayBeRetry = ! exchange.header (editHeader).empty();
    auto extra = json::object();
    extra["edit_id"] = editRequest.id;

    switch (result.kind)
    {
        case EditResult::Kind::stored:
            co_return co_await respondStored (state, exchange, editRequest, result);
        case EditResult::Kind::conflict:
            co_return co_await respondConflict (exchange, result);
        case EditResult::Kind::invalid:
            co_return co_await respondInvalid (exchange, result);
        case EditResult::Kind::unavailable:
            co_return co_await respondProblem (
                exchange, makeProblem (mayBeRetry ? ErrorKind::editUnknown : ErrorKind::platformUnavailable),
                extra);
        case EditResult::Kind::unknown:
            co_await respondProblem (exchange, makeProblem (ErrorKind::editUnknown), extra);
    }
}

auto performCall (AdminState& state, StoreCall call) -> Task<StoreResponse>
{
    StoreResponse response;

    if (! call.value)
    {
        const auto stored = co_await state.platform.read (call.key, "settings");
        response.outcome = stored ? WriteOutcome::done : WriteOutcome::unknown;
        response.value = stored.value_or (StoredValue {});
        co_return response;
    }

    constexpr auto noLease = std::uint64_t { 0 };
    const auto written = co_await state.platform.swap (call.key, call.expected, std::move (*call.value),
                                                       noLease, "settings_write");
    response.outcome = written.outcome;
    response.value.version = written.version;
    co_return response;
}

} // namespace

auto runProcedure (AdminState& state, EditProcedure& procedure) -> Task<void>
{
    BootTimer timer (state.loop);

    while (auto call = procedure.next())
    {
        const auto response = co_await performCall (state, std::move (*call));
        procedure.handleResponse (response);

        if (response.outcome == WriteOutcome::done)
            continue;

        timer.expires_after (retryInterval);
        co_await timer.async_wait (asTuple);
    }
}

auto handleEdit (AdminState& state, Exchange& exchange, const std::string& author) -> Task<void>
{
    const auto read = readEdit (exchange, author);

    if (const auto* problem = std::get_if<Problem> (&read))
    {
        co_await respondProblem (exchange, *problem);
        co_return;
    }

    const auto& editRequest = std::get<EditRequest> (read);
    EditProcedure procedure (editRequest);
    co_await runProcedure (state, procedure);
    co_await respondResult (state, exchange, editRequest, *procedure.result());
}

} // namespace snowrudder
