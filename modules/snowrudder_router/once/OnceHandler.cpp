#include "OnceHandler.h"

#include "../model/RecordRelay.h"
#include "../peers/PeerCalls.h"

namespace snowrudder
{

namespace
{

/** Maximum time to find the owner of a key. A handover or a claim of a slot takes less. */
constexpr auto ownerSearchTimeout = 5s;
constexpr auto ownerSearchInterval = 150ms;

/** An owner that does not respond within this time may be paused. The request is sent again, to whichever router owns
    the key then.
*/
constexpr auto ownerResponseTimeout = 2s;

/** Result of forwarding a call to the key's owner. */
enum class OwnerResponse
{
    answered,
    /** The router can't be reached, or responds that it doesn't own the key. */
    noOwner,
    /** The request was sent, but the response timed out. */
    slow
};

/** Decides how to handle a call, from the state of its key.

    @param record  receives the answer if the call is made here. It is added to the key table together with the key: if it
                   were added elsewhere in a second step, concurrent callers that find the key but no record would be
                   answered that the answer is no longer kept (8 of 12 callers with 20 ms between the two steps).
*/
auto decide (RouterState& state, const OnceCall& call, const std::shared_ptr<RequestRecord>& record)
    -> KeyDecision
{
    const KeyEntry entry { call.input.account->name, call.key, call.contentHash, KeyState::running,
                           toString (call.input.id), record };
    const std::lock_guard lock (state.once.mutex);
    return state.once.table.decide (entry, BootClock::now(), wallTimeNow(), state.once.leaseEnd);
}

/** @returns the endpoint of the key's owner if that is another router with a valid lease; empty otherwise. */
auto ownerEndpoint (RouterState& state, const OnceCall& call) -> std::string
{
    const std::lock_guard lock (state.once.mutex);
    const auto* record = liveOwner (state.once.view, slotOf (call.input.account->name, call.key));
    const auto isOther = record != nullptr && record->owner != state.settings.node().name();
    return isOther ? record->endpoint : std::string();
}

/** Makes the call and records its outcome in the key table. */
auto runAndRecord (RouterState& state,
                   std::shared_ptr<RequestRecord> record,
                   std::string account,
                   Uuid key,
                   KeyedRun run) -> Task<void>
{
    co_await run (record);
    const auto isAnswered = record->state() == RecordState::finished;
    const auto ran = isAnswered ? Ran::yes : record->problem().ran;

    const std::lock_guard lock (state.once.mutex);
    state.once.table.recordEnd (account, key, ran, isAnswered);
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
                    runAndRecord (state, record, call.input.account->name, call.key, std::move (run)),
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

/** Forwards a call to the key's owner and relays the answer to the caller. This can be repeated, as the owner runs the
    call at most once.

    @returns `answered` if the answer has been relayed to the caller
*/
auto forwardToOwner (RouterState& state,
                     Worker& worker,
                     Exchange& exchange,
                     const OnceCall& call,
                     const std::string& endpoint) -> Task<OwnerResponse>
{
    auto timeouts = state.timeouts.call;
    timeouts.firstByte = ownerResponseTimeout;

    HttpRequest request (call.received.method(), call.received.target(), 11);
    request.method_string (call.received.method_string());
    copyEndToEndHeaders (call.received, request, [] (std::string_view) { return false; });
    request.body() = call.received.body();
    request.prepare_payload();
    signRequest (state, request);

    UpstreamCall owner (worker.pool, parseEndpoint (endpoint), timeouts);
    const auto mayReuse = true;

    if (co_await owner.connect (mayReuse) || co_await owner.send (request))
        co_return OwnerResponse::noOwner;

    if (const auto error = co_await owner.readHeader())
        co_return error == std::errc::timed_out ? OwnerResponse::slow : OwnerResponse::noOwner;

    constexpr auto maxAnswerBytes = std::size_t { 8 * 1024 * 1024 };
    std::string body;

    if (co_await owner.readRest (body, maxAnswerBytes))
        co_return OwnerResponse::noOwner;

    const auto type = toView (owner.header()[http::field::content_type]);
    const auto isNotOwner = owner.status() == errorDescription (ErrorKind::ownerUnavailable).status &&
                            type == "application/problem+json" &&
                            body.find ("owner_unavailable") != std::string::npos;

    if (isNotOwner)
        co_return OwnerResponse::noOwner;

    HttpResponse response (static_cast<http::status> (owner.status()), 11);
    copyEndToEndHeaders (owner.header(), response, [] (std::string_view) { return false; });
    response.body() = std::move (body);
    co_await exchange.respond (std::move (response));
    co_return OwnerResponse::answered;
}

/** Responds to the caller if the verdict alone determines the response.

    @returns whether it responded
*/
auto respondToVerdict (RouterState& state,
                       Exchange& exchange,
                       const OnceCall& call,
                       const KeyDecision& decision) -> Task<bool>
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
    auto end = std::min (BootClock::now() + ownerSearchTimeout, call.input.deadline);
    const auto record = makeCallRecord (call.input, call.contentHash);

    for (;;)
    {
        const auto decision = decide (state, call, record);

        if (decision.verdict == KeyVerdict::run)
        {
            co_await makeCall (state, worker, exchange, call, record, std::move (run));
            co_return;
        }

        if (co_await respondToVerdict (state, exchange, call, decision))
            co_return;

        const auto endpoint = call.isForwarded ? std::string() : ownerEndpoint (state, call);
        const auto ownerResponse = endpoint.empty()
                                       ? OwnerResponse::noOwner
                                       : co_await forwardToOwner (state, worker, exchange, call, endpoint);

        if (ownerResponse == OwnerResponse::answered)
            co_return;

        if (ownerResponse == OwnerResponse::slow)
            end = std::min (BootClock::now() + ownerSearchTimeout, call.input.deadline);

        // A router that gets a forwarded call and doesn't own the key responds so at once. The router that forwarded the call
        // searches for the owner again.
        if (call.isForwarded || BootClock::now() >= end)
            break;

        co_await pauseFor (worker.loop, ownerSearchInterval);
    }

    co_await respondProblem (state, exchange, makeProblem (ErrorKind::ownerUnavailable),
                             toString (call.input.id));
}

} // namespace snowrudder
