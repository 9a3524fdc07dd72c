#include "RoutedGateway.h"

#include "../relay/RoutedRun.h"

namespace snowrudder
{

namespace
{

/** A node without a configuration, or without a proof of its freshness, looks for one several times a second. */
constexpr auto freshnessRetry = 500ms;

/** A node that starts has its configuration, the replicas and the list of nodes 15 to 110 ms later (seven nodes started
    together); 440 to 520 ms later with a large configuration and a tenth of a core or 20 Mbit/s (69 of 77). Until then it lets
    requests wait rather than send them away for longer; beyond this it tells them to come back.
*/
constexpr auto startPatience = 600ms;

/** Of the time that a caller gives, the part that its request may wait for a node that has just started. */
constexpr auto startShareOfPatience = 0.25;

/** How often a waiting request looks whether its node can decide. */
constexpr auto startLook = 5ms;

/** Another node takes the request as soon as the caller asks it. */
constexpr auto leavingRetry = 10ms;

/** @returns the account of a request that names a valid key, or why it is refused. */
auto accountOf (const ServingState& state, const CallerRequest& caller, const Route& route, TimePoint now)
    -> std::variant<std::shared_ptr<const RoutedAccount>, Problem>
{
    const auto& configuration = *state.configuration.current;

    if (route.isPublic || configuration.accounts.empty())
        return std::shared_ptr<const RoutedAccount>();

    if (! isFresh (state.configuration, state.freshness, now))
        return withRetry (makeProblem (ErrorKind::noReplica, "the configuration may be out of date"),
                          freshnessRetry);

    auto account = findAccount (configuration, caller.key);

    if (! account)
        return makeProblem (ErrorKind::unauthorized);

    return account;
}

auto tokensOf (const CallerRequest& caller, const RoutedAccount& account) -> double
{
    return caller.statesTokens ? caller.promptTokens + caller.answerTokens : account.plainTokens;
}

/** @returns why a request is not taken that ended the replicas that ran it. It takes nothing from its account's limit. */
auto checkCrashes (ServingState& state,
                   const CallerRequest& caller,
                   const RequestFingerprint& fingerprint,
                   TimePoint now) -> std::optional<Problem>
{
    const auto judgement = state.crashes.judge (fingerprint, now);

    if (judgement.verdict != CrashVerdict::stopped)
        return {};

    state.crashes.noteStopped (fingerprint, caller.id, judgement, now);
    return makeProblem (ErrorKind::crashesReplicas, "fingerprint " + toString (fingerprint));
}

auto checkQuota (ServingState& state,
                 const CallerRequest& caller,
                 const RoutedAccount& account,
                 bool isAskedAgain,
                 TimePoint now) -> std::optional<Problem>
{
    auto bounds =
        quotaBounds (state.sharing, state.peers, state.settings.quotaTolerance, randomFraction(), now);
    bounds.isAskedAgain = isAskedAgain;
    const auto admission = state.quota.admit (account, tokensOf (caller, account), bounds, now);

    if (admission.admitted)
        return {};

    const auto limit = static_cast<std::uint64_t> (account.tokensPerSecond);
    auto detail =
        "client account " + account.name + ", limit of " + std::to_string (limit) + " tokens a second";
    return withRetry (makeProblem (ErrorKind::rateLimited, std::move (detail)), admission.retryAfter);
}

auto logRefusal (const ServingState& state,
                 const CallerRequest& caller,
                 const Problem& refusal,
                 TimePoint now) -> void
{
    const auto& current = state.configuration.current;
    LogLine ("refused")
        .with ("request", caller.id)
        .with ("kind", toString (refusal.kind))
        .with ("detail", refusal.detail)
        .with ("host", caller.host)
        .with ("path", caller.path)
        .with ("version", current ? current->version : 0)
        .with ("proof_milliseconds", current ? inMilliseconds (now - state.configuration.provenAt) : -1.0)
        .with ("retry_after_milliseconds", inMilliseconds (refusal.retryAfter.value_or (Duration::zero())))
        .info();
}

/** @returns until when a request may wait for a node that has just started. */
auto startWaitEnd (const CallerRequest& caller, TimePoint arrived, TimePoint latest) -> TimePoint
{
    if (! caller.patience)
        return latest;

    const auto ofCaller = std::chrono::duration_cast<Duration> (*caller.patience * startShareOfPatience);
    return std::min (latest, arrived + ofCaller);
}

/** Lets a request wait until its node knows what it lacks.

    @param lacked  for the log
    @param knows   whether it knows it
*/
auto waitUntilKnown (const ServingState& state,
                     const CallerRequest& caller,
                     TimePoint end,
                     std::string_view lacked,
                     std::function<bool()> knows) -> Task<void>
{
    const auto began = SteadyClock::now();

    if (knows() || began >= end)
        co_return;

    while (! knows() && SteadyClock::now() < end)
        co_await pauseFor (state.loop, startLook);

    LogLine ("waited_for_start")
        .with ("request", caller.id)
        .with ("lacked", lacked)
        .with ("milliseconds", inMilliseconds (SteadyClock::now() - began))
        .with ("can_decide", knows() ? "yes" : "no")
        .info();
}

/** Lets a request wait until a node that has just started can decide on it. */
auto waitForStart (const ServingState& state, const CallerRequest& caller, TimePoint arrived) -> Task<void>
{
    const auto end = startWaitEnd (caller, arrived, state.sharing.startTime + startPatience);
    return waitUntilKnown (
        state, caller, end, "configuration",
        [&state] { return state.configuration.current && state.hasReplicas && state.sharing.members; });
}

/** @returns whether this node knows what the others admit. */
auto knowsLimits (const ServingState& state) -> bool
{
    return isSettled (state.sharing, state.peers, SteadyClock::now());
}

/** Lets a request that was refused for its account's limit wait until this node knows what the others admit. */
auto waitForLimits (const ServingState& state, const CallerRequest& caller, TimePoint arrived) -> Task<void>
{
    const auto end = startWaitEnd (caller, arrived, SteadyClock::now() + limitsPatience);
    return waitUntilKnown (state, caller, end, "limits", [&state] { return knowsLimits (state); });
}

auto isOverLimit (const std::variant<RoutedRequest, Problem>& admitted) -> bool
{
    const auto* refusal = std::get_if<Problem> (&admitted);
    return refusal != nullptr && refusal->kind == ErrorKind::rateLimited;
}

} // namespace

auto admit (ServingState& state, CallerRequest& caller, TimePoint arrived, bool isAskedAgain, TimePoint now)
    -> std::variant<RoutedRequest, Problem>
{
    RoutedRequest request;
    request.configuration = state.configuration.current;
    request.accepted = arrived;

    // Too late to be sure of an end within the grace time; another node is asked at once.
    if (state.isDrained)
        return withRetry (makeProblem (ErrorKind::nodeLeaving), leavingRetry);

    if (! request.configuration)
        return withRetry (makeProblem (ErrorKind::noReplica, "no configuration yet"), freshnessRetry);

    request.route = findRoute (*request.configuration, caller.host, caller.path);

    if (request.route == nullptr)
        return makeProblem (ErrorKind::notFound);

    auto account = accountOf (state, caller, *request.route, now);

    if (auto* refusal = std::get_if<Problem> (&account))
        return std::move (*refusal);

    request.account = std::get<std::shared_ptr<const RoutedAccount>> (std::move (account));

    request.fingerprint = fingerprintOf (state.fleetSecret, contentOf (caller, request.accountName()));

    if (auto refusal = checkCrashes (state, caller, request.fingerprint, now))
        return std::move (*refusal);

    if (request.account)
        if (auto refusal = checkQuota (state, caller, *request.account, isAskedAgain, now))
            return std::move (*refusal);

    const auto patience = caller.patience.value_or (request.route->timeout);
    request.end = arrived + std::min (patience, request.route->timeout);
    request.service = pickService (*request.route, randomFraction());
    request.caller = std::move (caller);
    return request;
}

auto handleRouted (ServingState& state, Exchange& exchange, std::variant<CallerRequest, Problem> read)
    -> Task<void>
{
    state.counts.requests.add();

    if (state.leaving)
        exchange.closeAfterResponse();

    if (const auto* problem = std::get_if<Problem> (&read))
    {
        LogLine ("malformed").with ("detail", problem->detail).info();
        co_await exchange.respond (state.protocol.problem (*problem, {}));
        co_return;
    }

    auto& caller = std::get<CallerRequest> (read);
    const auto id = caller.id;
    const auto arrived = SteadyClock::now();
    co_await waitForStart (state, caller, arrived);

    auto now = SteadyClock::now();
    auto isAskedAgain = false;
    auto admitted = admit (state, caller, arrived, isAskedAgain, now);

    if (isOverLimit (admitted) && ! knowsLimits (state))
    {
        co_await waitForLimits (state, caller, arrived);
        now = SteadyClock::now();
        isAskedAgain = true;
        admitted = admit (state, caller, arrived, isAskedAgain, now);
    }

    if (const auto* refusal = std::get_if<Problem> (&admitted))
    {
        logRefusal (state, caller, *refusal, now);
        co_await exchange.respond (state.protocol.problem (*refusal, id));
        co_return;
    }

    RoutedRun run (state, exchange, std::get<RoutedRequest> (std::move (admitted)));
    co_await run.run();
}

} // namespace snowrudder
