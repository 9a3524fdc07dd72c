#include "PlainHandler.h"

#include "../model/RecordRelay.h"
#include "../once/OnceHandler.h"
#include "../peers/PeerCalls.h"
#include "PlainCall.h"

namespace snowrudder
{

namespace
{

constexpr auto servicesPrefix = std::string_view ("/services/");
constexpr auto maxKeptAnswerBytes = std::size_t { 4 * 1024 * 1024 };

/** A valid call to a plain service, with its idempotency key. */
struct ResolvedCall
{
    PlainCallInput input;
    std::string key;
};

/** The two parts of the target `/services/NAME/PATH`. */
struct ServiceTarget
{
    std::string_view service;
    /** Path and query, with the leading '/'. */
    std::string_view upstreamTarget;
};

auto splitTarget (std::string_view target) -> ServiceTarget
{
    target.remove_prefix (servicesPrefix.size());
    const auto end = target.find_first_of ("/?");

    if (end == std::string_view::npos)
        return { target, "/" };

    const auto upstreamTarget = target[end] == '/' ? target.substr (end) : std::string_view ("/");
    return { target.substr (0, end), upstreamTarget };
}

/** @returns the caller's request as it is sent to the upstream: without hop-by-hop headers, `Authorization` and the
    `Snowrudder-` headers, and with `X-Request-Id`.
*/
auto upstreamRequest (const HttpRequest& from, std::string_view target, const std::string& id) -> HttpRequest
{
    HttpRequest request (from.method(), toBeast (target), 11);
    request.method_string (from.method_string());

    copyEndToEndHeaders (from, request,
                         [] (std::string_view name)
                         {
                             return beast::iequals (toBeast (name), "authorization") ||
                                    (name.size() >= 11 &&
                                     beast::iequals (toBeast (name.substr (0, 11)), "snowrudder-"));
                         });

    request.set ("X-Request-Id", id);
    request.body() = from.body();
    const auto hadLength = from.has_content_length() || from.chunked();

    if (hadLength || ! request.body().empty())
        request.prepare_payload();

    return request;
}

auto resolveRequest (const RouterState& state, const Exchange& exchange, const CallerScope& scope)
    -> std::variant<ResolvedCall, Problem>
{
    const auto& received = exchange.request();
    const auto target = splitTarget (toView (received.target()));
    const auto service = scope.fleet->service (target.service);

    if (! service || service->kind != schema::PLAIN)
        return makeProblem (ErrorKind::notFound, "service \"" + std::string (target.service) + "\"");

    if (! scope.account->services.contains (service->name))
        return makeProblem (ErrorKind::forbidden, "service \"" + service->name + "\"");

    auto key = readIdempotencyKey (exchange);

    if (auto* problem = std::get_if<Problem> (&key))
        return std::move (*problem);

    const auto path = target.upstreamTarget.substr (0, target.upstreamTarget.find ('?'));
    const auto isMarkedNotRepeatable =
        beast::iequals (toBeast (exchange.header ("Snowrudder-Repeatable")), "no");

    ResolvedCall resolved;
    resolved.key = std::get<std::string> (std::move (key));
    resolved.input.service = service;
    resolved.input.account = scope.account;
    resolved.input.id = scope.id;
    resolved.input.repeatable =
        ! isMarkedNotRepeatable && isRepeatable (service->settings, toView (received.method_string()), path);
    resolved.input.deadline = BootClock::now() + scope.account->deadline;
    resolved.input.request = upstreamRequest (received, target.upstreamTarget, toString (scope.id));
    resolved.input.fingerprint = fingerprintOf (state.settings.node_secret(),
                                                { scope.account->name, toView (received.method_string()),
                                                  service->name, target.upstreamTarget, received.body() });
    return resolved;
}

/** Counts a call as in progress, and records its duration at the end. */
class CallInProgress
{
public:
    explicit CallInProgress (RouterState& routerState) : state (routerState), since (BootClock::now())
    {
        state.plainCalls.fetch_add (1);
    }

    ~CallInProgress()
    {
        state.plainCalls.fetch_sub (1);
        state.counts.plainCalls.add (BootClock::now() - since);
    }

    CallInProgress (const CallInProgress&) = delete;
    auto operator= (const CallInProgress&) -> CallInProgress& = delete;

private:
    RouterState& state;
    TimePoint since;
};

auto enterQueue (RouterState& state, Worker& worker, const PlainCallInput& input)
    -> Task<ServiceQueues::PermitOutcome>
{
    constexpr auto defaultQueueLimit = std::uint32_t { 256 };
    constexpr auto bytesPerWorkUnit = 1024.0;
    const auto& settings = input.service->settings;

    QueuedRequest queued;
    queued.account = input.account->name;
    queued.weight = input.account->weight;
    queued.cost = 1.0 + static_cast<double> (input.request.body().size()) / bytesPerWorkUnit;
    queued.deadline = queueDeadline (*input.service, BootClock::now(), input.deadline);
    const auto queueLimit = settings.has_queue_limit() ? settings.queue_limit() : defaultQueueLimit;
    return state.queues.acquire (input.service->name, std::move (queued), queueLimit,
                                 worker.loop.get_executor());
}

/** Records that a request succeeded at a replica, if its answer was successful and has been read completely. */
auto recordSuccess (RouterState& state, const PlainCallInput& input, const UpstreamCall& call) -> void
{
    if (call.hasSucceeded())
        state.crashes.recordSuccess (input.fingerprint, BootClock::now(), BootClock::now());
}

/** Keeps a small answer, so that its caller can fetch it by the request identifier. */
auto keepSmallAnswer (RouterState& state, const PlainCallInput& input, PlainAnswer& answer) -> void
{
    constexpr auto maxSmallAnswerBytes = std::size_t { 16 * 1024 };
    auto& call = answer.upstream();

    if (! call.isDone() || answer.body.size() > maxSmallAnswerBytes)
        return;

    constexpr auto noContentHash = std::uint64_t { 0 };
    const std::string noKey;
    const auto record = makeCallRecord (input, noContentHash);
    record->finish (
        KeptAnswer { call.status(), std::string (call.header()[http::field::content_type]), answer.body });
    state.requests.add (record, noKey);
    state.requests.markEnded (record, BootClock::now());
}

auto relayUnkeyed (RouterState& state, Worker& worker, Exchange& exchange, const PlainCallInput& input)
    -> Task<void>
{
    const auto idText = toString (input.id);
    const auto permit = co_await enterQueue (state, worker, input);

    if (! permit.granted)
    {
        co_await respondProblem (state, exchange, overloadProblem (permit), idText);
        co_return;
    }

    const PermitGuard guard (state.queues, input.service->name, input.account->name);
    auto result = co_await callPlainService (state, worker, input);

    if (const auto* problem = std::get_if<Problem> (&result))
    {
        co_await respondProblem (state, exchange, *problem, idText);
        co_return;
    }

    auto& answer = *std::get<std::unique_ptr<PlainAnswer>> (result);
    keepSmallAnswer (state, input, answer);
    co_await relayAnswer (exchange, answer.upstream(), std::move (answer.body), idText);
    recordSuccess (state, input, answer.upstream());
}

/** Makes a call with an idempotency key, independently of the caller's connection, and keeps its answer in the record. */
auto runKeyed (RouterState& state,
               Worker& worker,
               PlainCallInput input,
               std::shared_ptr<RequestRecord> record,
               std::shared_ptr<AccountAdmission>) -> Task<void>
{
    const auto permit = co_await enterQueue (state, worker, input);

    if (! permit.granted)
    {
        record->fail (overloadProblem (permit));
        state.requests.markEnded (record, BootClock::now());
        co_return;
    }

    const PermitGuard guard (state.queues, input.service->name, input.account->name);
    auto result = co_await callPlainService (state, worker, input);

    if (auto* problem = std::get_if<Problem> (&result))
    {
        record->fail (std::move (*problem));
        state.requests.markEnded (record, BootClock::now());
        co_return;
    }

    auto& answer = *std::get<std::unique_ptr<PlainAnswer>> (result);
    auto& call = answer.upstream();
    KeptAnswer kept { call.status(), std::string (call.header()[http::field::content_type]),
                      std::move (answer.body) };

    if (co_await call.readRest (kept.body, maxKeptAnswerBytes))
        record->fail (
            makeProblem (ErrorKind::upstreamFailed, Ran::yes, "the answer could not be kept whole"));
    else
        record->finish (std::move (kept));

    recordSuccess (state, input, call);
    state.requests.markEnded (record, BootClock::now());
}

/** @returns a hash of method, target and body. It distinguishes a repeated request from a different one with the same
    idempotency key.
*/
auto contentHashOf (const HttpRequest& received) -> std::uint64_t
{
    const auto method = hashBytes (toView (received.method_string()));
    const auto target = hashBytes (toView (received.target()), method);
    return hashBytes (received.body(), target);
}

/** Handles a call with an idempotency key that may be repeated: this router returns the answer of the first call again;
    another router may make the call again.
*/
auto relayKeyed (RouterState& state,
                 Worker& worker,
                 Exchange& exchange,
                 ResolvedCall resolved,
                 std::shared_ptr<AccountAdmission> admitted) -> Task<void>
{
    auto record = makeCallRecord (resolved.input, contentHashOf (exchange.request()));

    if (const auto earlier = state.requests.add (record, resolved.key))
    {
        if (earlier->identity().contentHash != record->identity().contentHash)
        {
            co_await respondProblem (state, exchange, makeProblem (ErrorKind::keyConflict),
                                     toString (resolved.input.id));
            co_return;
        }

        record = earlier;
    }
    else
    {
        asio::co_spawn (worker.loop,
                        runKeyed (state, worker, std::move (resolved.input), record, std::move (admitted)),
                        asio::detached);
    }

    co_await relayRecord (state, exchange, record, 0);
}

/** Handles a call with an idempotency key that may run at most once: the router that owns the key makes it. */
auto relayOnce (RouterState& state,
                Worker& worker,
                Exchange& exchange,
                ResolvedCall resolved,
                bool isForwarded,
                std::shared_ptr<AccountAdmission> admitted) -> Task<void>
{
    OnceCall call;
    call.input = resolved.input;
    call.key = *parseUuid (resolved.key);
    call.contentHash = contentHashOf (exchange.request());
    call.received = exchange.request();
    call.isForwarded = isForwarded;

    KeyedRun run = [&state, &worker, input = std::move (resolved.input),
                    held = std::move (admitted)] (std::shared_ptr<RequestRecord> record)
    { return runKeyed (state, worker, input, std::move (record), held); };

    co_await handleOnce (state, worker, exchange, std::move (call), std::move (run));
}

} // namespace

auto handlePlain (RouterState& state, Worker& worker, Exchange& exchange, CallerScope scope) -> Task<void>
{
    auto resolution = resolveRequest (state, exchange, scope);

    if (const auto* problem = std::get_if<Problem> (&resolution))
    {
        co_await respondProblem (state, exchange, *problem, toString (scope.id));
        co_return;
    }

    auto& resolved = std::get<ResolvedCall> (resolution);

    // A call with a key may have run before. The state of its key takes precedence, so that the crash verdict is only checked
    // here for calls without one.
    const auto refusal = resolved.key.empty()
                             ? checkCrashVerdict (state, resolved.input.fingerprint, toString (scope.id))
                             : std::nullopt;

    if (refusal)
    {
        co_await respondProblem (state, exchange, *refusal, toString (scope.id));
        co_return;
    }

    // A forwarded request was already counted for the client account by the router that forwarded it.
    const auto isForwarded = signingPeer (state, exchange.request()).has_value();
    std::optional<Problem> admissionProblem;
    auto admitted =
        isForwarded ? nullptr : std::make_shared<AccountAdmission> (state, *scope.account, admissionProblem);

    if (admissionProblem)
    {
        co_await respondProblem (state, exchange, *admissionProblem, toString (scope.id));
        co_return;
    }

    const CallInProgress inProgress (state);

    if (resolved.key.empty())
        co_await relayUnkeyed (state, worker, exchange, resolved.input);
    else if (! resolved.input.repeatable)
        co_await relayOnce (state, worker, exchange, std::move (resolved), isForwarded, std::move (admitted));
    else
        co_await relayKeyed (state, worker, exchange, std::move (resolved), std::move (admitted));
}

} // namespace snowrudder
