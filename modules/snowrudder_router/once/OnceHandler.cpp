#include "OnceHandler.h"

#include "../model/RecordRelay.h"
#include "../peers/PeerCalls.h"

namespace snowrudder
{

namespace
{

/** An owner is looked for this long: a handover or a claim takes less. */
constexpr auto longestSearch = 5s;
constexpr auto searchPause = 150ms;

/** An owner that has not answered for this long is asked again, if it still is the owner: it may be paused. */
constexpr auto askTime = 2s;

/** What asking an owner came to. */
enum class Asked
{
    answered,
    /** It can't be reached, or says that it is no owner. */
    noOwner,
    /** It took the question and has not answered yet. */
    slow
};

/** Decides about a call.

    @param record  where its answer is made, should it be made here. It goes into the table together with the key: looked up
                   elsewhere once the key was seen, it was missing for those who came in between the two, and they were told that
                   the answer is no longer kept (8 of 12 callers with 20 ms between the two).
*/
auto decide (RouterState& state, const OnceCall& call, const std::shared_ptr<RequestRecord>& record)
    -> KeyDecision
{
    const KeyEntry entry { call.input.account->name, call.key, call.contentHash, KeyState::running,
                           toString (call.input.id), record };
    const std::lock_guard lock (state.once.mutex);
    return state.once.table.decide (entry, SteadyClock::now(), wallTimeNow(), state.once.leaseEnd);
}

/** @returns where a living owner other than this router takes callers, or an empty text. */
auto ownerEndpoint (RouterState& state, const OnceCall& call) -> std::string
{
    const std::lock_guard lock (state.once.mutex);
    const auto* record = liveOwner (state.once.view, slotOf (call.input.account->name, call.key));
    const auto isOther = record != nullptr && record->owner != state.settings.node().name();
    return isOther ? record->endpoint : std::string();
}

/** Makes the call, and notes in the key table how it ended. */
auto runAndNote (RouterState& state,
                 std::shared_ptr<RequestRecord> record,
                 std::string account,
                 Uuid key,
                 KeyedRun run) -> Task<void>
{
    co_await run (record);
    const auto isAnswered = record->state() == RecordState::finished;
    const auto ran = isAnswered ? Ran::yes : record->problem().ran;

    const std::lock_guard lock (state.once.mutex);
    state.once.table.noteEnd (account, key, ran, isAnswered);
}

auto makeCall (RouterState& state,
               Worker& worker,
               Exchange& exchange,
               const OnceCall& call,
               std::shared_ptr<RequestRecord> record,
               KeyedRun run) -> Task<void>
{
    const std::string noKey;
    state.requests.add (record, noKey);
    asio::co_spawn (worker.loop,
                    runAndNote (state, record, call.input.account->name, call.key, std::move (run)),
                    asio::detached);
    co_await relayRecord (state, exchange, record, 0);
}

auto joinCall (RouterState& state, Exchange& exchange, const OnceCall& call, const KeyEntry& entry)
    -> Task<void>
{
    if (const auto record = entry.record.lock())
    {
        co_await relayRecord (state, exchange, record, 0);
        co_return;
    }

    auto problem = makeProblem (ErrorKind::outcomeUnknown, "the call ran; its answer is no longer kept");
    problem.ran = entry.state == KeyState::finished ? Ran::yes : Ran::unknown;
    co_await respondProblem (state, exchange, problem, toString (call.input.id));
}

/** Asks the key's owner. The call may be asked for again as often as needed: the owner runs it once.

    @returns `answered` once the caller has its answer
*/
auto askOwner (RouterState& state,
               Worker& worker,
               Exchange& exchange,
               const OnceCall& call,
               const std::string& endpoint) -> Task<Asked>
{
    auto timeouts = state.timeouts.call;
    timeouts.firstByte = askTime;

    HttpRequest request (call.received.method(), call.received.target(), 11);
    request.method_string (call.received.method_string());
    copyEndToEndHeaders (call.received, request, [] (std::string_view) { return false; });
    request.body() = call.received.body();
    request.prepare_payload();
    signRequest (state, request);

    UpstreamCall owner (worker.pool, parseEndpoint (endpoint), timeouts);
    const auto mayReuse = true;

    if (co_await owner.connect (mayReuse) || co_await owner.send (request))
        co_return Asked::noOwner;

    if (const auto error = co_await owner.readHeader())
        co_return error == std::errc::timed_out ? Asked::slow : Asked::noOwner;

    constexpr auto largestAnswer = std::size_t { 8 * 1024 * 1024 };
    std::string body;

    if (co_await owner.readRest (body, largestAnswer))
        co_return Asked::noOwner;

    const auto type = toView (owner.header()[http::field::content_type]);
    const auto isNotOwner = owner.status() == errorDescription (ErrorKind::ownerUnavailable).status &&
                            type == "application/problem+json" &&
                            body.find ("owner_unavailable") != std::string::npos;

    if (isNotOwner)
        co_return Asked::noOwner;

    HttpResponse response (static_cast<http::status> (owner.status()), 11);
    copyEndToEndHeaders (owner.header(), response, [] (std::string_view) { return false; });
    response.body() = std::move (body);
    co_await exchange.respond (std::move (response));
    co_return Asked::answered;
}

/** Answers where the decision alone tells what to say.

    @returns whether it did
*/
auto answerVerdict (RouterState& state, Exchange& exchange, const OnceCall& call, const KeyDecision& decision)
    -> Task<bool>
{
    const auto id = toString (call.input.id);

    switch (decision.verdict)
    {
        case KeyVerdict::join:
            co_await joinCall (state, exchange, call, *decision.entry);
            co_return true;

        case KeyVerdict::unknown:
            co_await respondProblem (state, exchange, makeProblem (ErrorKind::outcomeUnknown), id);
            co_return true;

        case KeyVerdict::conflict:
            co_await respondProblem (state, exchange, makeProblem (ErrorKind::keyConflict), id);
            co_return true;

        case KeyVerdict::tooNew:
            co_await respondProblem (
                state, exchange,
                makeProblem (ErrorKind::invalidRequest, "the time in Idempotency-Key lies ahead"), id);
            co_return true;

        case KeyVerdict::run:
        case KeyVerdict::notOwner:
            break;
    }

    co_return false;
}

} // namespace

auto handleOnce (RouterState& state, Worker& worker, Exchange& exchange, OnceCall call, KeyedRun run)
    -> Task<void>
{
    auto end = std::min (SteadyClock::now() + longestSearch, call.input.deadline);
    const auto record = makeCallRecord (call.input, call.contentHash);

    for (;;)
    {
        const auto decision = decide (state, call, record);

        if (decision.verdict == KeyVerdict::run)
        {
            co_await makeCall (state, worker, exchange, call, record, std::move (run));
            co_return;
        }

        if (co_await answerVerdict (state, exchange, call, decision))
            co_return;

        const auto endpoint = call.isForwarded ? std::string() : ownerEndpoint (state, call);
        const auto asked =
            endpoint.empty() ? Asked::noOwner : co_await askOwner (state, worker, exchange, call, endpoint);

        if (asked == Asked::answered)
            co_return;

        if (asked == Asked::slow)
            end = std::min (SteadyClock::now() + longestSearch, call.input.deadline);

        // A router that was asked as the owner and is none says so at once; the one that asked looks again.
        if (call.isForwarded || SteadyClock::now() >= end)
            break;

        co_await pauseFor (worker.loop, searchPause);
    }

    co_await respondProblem (state, exchange, makeProblem (ErrorKind::ownerUnavailable),
                             toString (call.input.id));
}

} // namespace snowrudder
