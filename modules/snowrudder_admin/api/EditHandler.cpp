#include "EditHandler.h"

#include "../spread/TreeSpread.h"
#include "Answers.h"

#include <charconv>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto acceptTime = 6s;
constexpr auto retryPause = 200ms;
constexpr auto editHeader = "Snowrudder-Edit-Id";

auto actionOf (http::verb method) -> EditAction
{
    if (method == http::verb::patch)
        return EditAction::merge;

    return method == http::verb::delete_ ? EditAction::remove : EditAction::replace;
}

/** @returns the revision of If-Match, quoted or not; nothing where there is none. */
auto knownRevision (const Exchange& exchange) -> std::optional<std::uint64_t>
{
    auto text = exchange.header ("If-Match");

    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr (1, text.size() - 2);

    auto revision = std::uint64_t { 0 };
    const auto parsed = std::from_chars (text.data(), text.data() + text.size(), revision);
    const auto isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return ! text.empty() && isWhole ? std::optional (revision) : std::nullopt;
}

/** @returns the edit that a request asks for, or what is wrong with it. */
auto readEdit (const Exchange& exchange, const std::string& author) -> std::variant<EditRequest, Problem>
{
    EditRequest wanted;
    wanted.author = author;
    wanted.nowSeconds = static_cast<std::uint64_t> (
        std::chrono::duration_cast<std::chrono::seconds> (wallTimeNow().time_since_epoch()).count());
    wanted.id = std::string (exchange.header (editHeader));

    if (wanted.id.empty())
        wanted.id = toString (makeUuid (wallTimeNow()));
    else if (! isValidName (wanted.id))
        return makeProblem (ErrorKind::invalidRequest,
                            std::string (editHeader) + " must be 1 to 63 of a-z, 0-9 and '-'");

    const auto revision = knownRevision (exchange);

    if (! revision)
        return makeProblem (ErrorKind::invalidRequest,
                            "If-Match must give the revision that the edit starts from");

    wanted.knownRevision = *revision;
    wanted.edit.action = actionOf (exchange.request().method());
    wanted.edit.path = settingsPath (exchange);

    if (wanted.edit.action == EditAction::remove)
        return wanted;

    auto value = parseTree (exchange.request().body());

    if (! value)
        return makeProblem (ErrorKind::invalidRequest, "the body is not JSON");

    wanted.edit.value = std::move (*value);
    return wanted;
}

auto heldBy (const std::vector<HeldRevision>& routers, std::uint64_t revision) -> std::int64_t
{
    return std::ranges::count_if (routers, [revision] (const HeldRevision& router)
                                  { return router.revision >= revision; });
}

auto respondConflict (Exchange& exchange, const EditResult& result) -> Task<void>
{
    auto extra = json::object();
    extra["revision"] = result.tree.revision;

    if (result.known)
        extra["changes"] = changesJson (diffTrees (result.known->tree, result.tree.tree));

    co_await respondProblem (exchange, makeProblem (ErrorKind::editConflict), extra);
}

auto respondInvalid (Exchange& exchange, const EditResult& result) -> Task<void>
{
    auto extra = json::object();
    extra["errors"] = errorsJson (result.errors);
    co_await respondProblem (exchange, makeProblem (ErrorKind::settingsInvalid), extra);
}

/** Spreads a stored revision and says whether it is accepted. */
auto respondStored (AdminState& state,
                    Exchange& exchange,
                    const EditRequest& wanted,
                    const EditResult& result) -> Task<void>
{
    const auto revision = result.tree.revision;
    const auto held = co_await spreadRevision (state, result.tree, acceptTime);
    const auto accepted = isAccepted (held, revision);

    LogLine ("edit")
        .with ("edit_id", wanted.id)
        .with ("author", wanted.author)
        .with ("revision", revision)
        .with ("accepted", accepted ? "yes" : "no")
        .with ("held_by", heldBy (held, revision))
        .info();

    json::object body;
    body["accepted"] = accepted;
    body["revision"] = revision;
    body["edit_id"] = wanted.id;
    body["held_by"] = heldBy (held, revision);

    if (! accepted)
        body["detail"] =
            "stored, but too few routers are known to hold it; ask again with the same edit identifier";

    co_await respondJsonBody (exchange, accepted ? http::status::ok : http::status::accepted, body);
}

auto respondResult (AdminState& state,
                    Exchange& exchange,
                    const EditRequest& wanted,
                    const EditResult& result) -> Task<void>
{
    // An earlier try with this identifier may have stored it: then "nothing was changed" can't be promised.
    const auto mayBeKnown = ! exchange.header (editHeader).empty();
    auto extra = json::object();
    extra["edit_id"] = wanted.id;

    switch (result.kind)
    {
        case EditResult::Kind::stored:
            co_return co_await respondStored (state, exchange, wanted, result);
        case EditResult::Kind::conflict:
            co_return co_await respondConflict (exchange, result);
        case EditResult::Kind::invalid:
            co_return co_await respondInvalid (exchange, result);
        case EditResult::Kind::unavailable:
            co_return co_await respondProblem (
                exchange, makeProblem (mayBeKnown ? ErrorKind::editUnknown : ErrorKind::platformUnavailable),
                extra);
        case EditResult::Kind::unknown:
            co_await respondProblem (exchange, makeProblem (ErrorKind::editUnknown), extra);
    }
}

auto makeCall (AdminState& state, StoreCall call) -> Task<StoreAnswer>
{
    StoreAnswer answer;

    if (! call.value)
    {
        const auto stored = co_await state.platform.read (call.key, "settings");
        answer.outcome = stored ? WriteOutcome::done : WriteOutcome::unknown;
        answer.value = stored.value_or (StoredValue {});
        co_return answer;
    }

    constexpr auto noLease = std::uint64_t { 0 };
    const auto written = co_await state.platform.swap (call.key, call.expected, std::move (*call.value),
                                                       noLease, "settings_write");
    answer.outcome = written.outcome;
    answer.value.version = written.version;
    co_return answer;
}

} // namespace

auto runProcedure (AdminState& state, EditProcedure& procedure) -> Task<void>
{
    asio::steady_timer timer (state.loop);

    while (auto call = procedure.next())
    {
        const auto answer = co_await makeCall (state, std::move (*call));
        procedure.take (answer);

        if (answer.outcome == WriteOutcome::done)
            continue;

        timer.expires_after (retryPause);
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

    const auto& wanted = std::get<EditRequest> (read);
    EditProcedure procedure (wanted);
    co_await runProcedure (state, procedure);
    co_await respondResult (state, exchange, wanted, *procedure.result());
}

} // namespace snowrudder
