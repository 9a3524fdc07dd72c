#include "RoutedGateway.h"

#include "../attempt/AttemptErrors.h"
#include "../relay/RoutedRequestRunner.h"
#include "../streams/ResumedStream.h"

namespace snowrudder
{

namespace
{

/** Retry delay while the node lacks a configuration or a proof of its freshness, which it polls several times a
    second.
*/
constexpr auto freshnessRetryDelay = 500ms;

constexpr auto staleDetail = std::string_view ("the configuration may be out of date");

/** Retry delay while the node reads a newer configuration that was announced: a call to the store and its pauses. */
constexpr auto announcedRetryDelay = 200ms;

/** How long after the node's start requests wait for it to become ready; later ones are refused with a retry delay.
    Waiting is shorter for the caller than a retry. A starting node has its configuration, the replicas and the list
    of nodes after 15 to 110 ms when seven nodes start together, and after 440 to 520 ms on a tenth of a core or 20
    Mbit/s with a large configuration (69 of 77 nodes).
*/
constexpr auto startWaitLimit = 600ms;

/** The share of the caller's time limit that a request may spend waiting for a node that has just started. */
constexpr auto startShareOfTimeLimit = 0.25;

/** How often a waiting request polls whether the node is ready to admit it. */
constexpr auto startPollInterval = 5ms;

/** @returns a refusal that the configuration gives reason to, or one that promises nothing if a newer configuration may
    allow the request.
*/
auto deny (const ServingState& state, Problem denial, TimePoint now) -> Problem
{
    const auto basis =
        denialBasis (state.configuration, state.storeUpdates.newestConfigurationRevision, state.denial, now);

    if (basis == DenialBasis::current)
        return denial;

    const auto delay = basis == DenialBasis::newerAnnounced ? Duration (announcedRetryDelay)
                                                            : Duration (freshnessRetryDelay);
    return withRetry (makeProblem (ErrorKind::noReplica,
                                   std::string (staleDetail) + ": " + std::string (toString (denial.kind))),
                      delay);
}

/** @returns the client account to which the request's key belongs, null if the route needs none, or why the request
    is refused.
*/
auto authenticate (const ServingState& state, const CallerRequest& caller, const Route& route, TimePoint now)
    -> std::variant<std::shared_ptr<const RoutedAccount>, Problem>
{
    const auto& configuration = *state.configuration.current;

    if (route.isPublic)
        return std::shared_ptr<const RoutedAccount>();

    if (! isFresh (state.configuration, state.freshness, now))
        return withRetry (makeProblem (ErrorKind::noReplica, std::string (staleDetail)), freshnessRetryDelay);

    auto account = findAccount (configuration, caller.key);

    if (! account)
        return deny (state, makeProblem (ErrorKind::unauthorized), now);

    return account;
}

/** @returns the number of tokens that a request is charged to its account's limit. */
auto quotaTokens (const CallerRequest& caller, const RoutedAccount& account) -> double
{
    return caller.hasTokenCounts ? caller.promptTokens + caller.answerTokens : account.plainTokens;
}

/** @returns a refusal if the request crashes the replicas that run it. Such a request is not charged to its account's
    limit.
*/
auto checkCrashes (ServingState& state,
                   const CallerRequest& caller,
                   const CrashSubjects& subjects,
                   TimePoint now) -> std::optional<Problem>
{
    const auto assessment = state.crashes.assess (subjects, now);

    if (assessment.verdict != CrashVerdict::stopped)
        return {};

    state.crashes.reportStopped (subjects.request, caller.id, assessment, now);
    const auto* const name = assessment.subject == CrashSubject::promptPart ? "part " : "fingerprint ";
    return makeProblem (ErrorKind::crashesReplicas, name + toString (assessment.fingerprint));
}

/** @returns a refusal if the request would exceed its account's limit.

    @param isSecondCheck  whether it was refused before and has waited; see QuotaBounds
*/
auto checkQuota (ServingState& state,
                 const CallerRequest& caller,
                 const RoutedAccount& account,
                 bool isSecondCheck,
                 TimePoint now) -> std::optional<Problem>
{
    auto bounds =
        quotaBounds (state.sharing, state.peers, state.settings.quotaTolerance, randomFraction(), now);
    bounds.isAdmissionRetry = isSecondCheck;
    const auto admission = state.quota.admit (account, quotaTokens (caller, account), bounds, now);

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
        .with ("revision", current ? current->revision : 0)
        .with ("newest_revision", newestKnownConfigurationRevision (state.storeUpdates, state.configuration))
        .with ("proof_milliseconds", proofMilliseconds (state.configuration, now))
        .with ("retry_after_milliseconds", inMilliseconds (refusal.retryAfter.value_or (Duration::zero())))
        .info();
}

/** @returns until when a request may wait for a node that has just started: `latest`, or earlier if the caller's time
    limit is short.
*/
auto startWaitEnd (const CallerRequest& caller, TimePoint arrived, TimePoint latest) -> TimePoint
{
    if (! caller.timeLimit)
        return latest;

    const auto ofCaller = std::chrono::duration_cast<Duration> (*caller.timeLimit * startShareOfTimeLimit);
    return std::min (latest, arrived + ofCaller);
}

/** Delays a request until the node has the data that it needs, or until `end`.

    @param missing  name of that data, for the log
    @param isReady  whether the node has it
*/
auto waitUntilReady (const ServingState& state,
                     const CallerRequest& caller,
                     TimePoint end,
                     std::string_view missing,
                     std::function<bool()> isReady) -> Task<void>
{
    const auto began = BootClock::now();

    if (isReady() || began >= end)
        co_return;

    while (! isReady() && BootClock::now() < end)
        co_await pauseFor (state.loop, startPollInterval);

    LogLine ("waited_for_start")
        .with ("request", caller.id)
        .with ("lacked", missing)
        .with ("milliseconds", inMilliseconds (BootClock::now() - began))
        .with ("can_decide", isReady() ? "yes" : "no")
        .info();
}

/** Delays a request until a node that has just started is able to admit or refuse it. */
auto waitForStart (const ServingState& state, const CallerRequest& caller, TimePoint arrived) -> Task<void>
{
    const auto end = startWaitEnd (caller, arrived, state.sharing.startTime + startWaitLimit);
    return waitUntilReady (
        state, caller, end, "configuration",
        [&state] { return state.configuration.current && state.hasReplicas && state.sharing.members; });
}

/** @returns whether this node has received what the other nodes admit. */
auto hasSettledLimits (const ServingState& state) -> bool
{
    return isSettled (state.sharing, state.peers, BootClock::now());
}

/** Delays a request that was refused by its account's limit until this node has received what the other nodes admit. */
auto waitForLimits (const ServingState& state, const CallerRequest& caller, TimePoint arrived) -> Task<void>
{
    const auto end = startWaitEnd (caller, arrived, BootClock::now() + maxSettlingWait);
    return waitUntilReady (state, caller, end, "limits", [&state] { return hasSettledLimits (state); });
}

auto isOverLimit (const std::variant<RoutedRequest, Problem>& admitted) -> bool
{
    const auto* refusal = std::get_if<Problem> (&admitted);
    return refusal != nullptr && refusal->kind == ErrorKind::rateLimited;
}

} // namespace

auto admit (ServingState& state, CallerRequest& caller, TimePoint arrived, bool isSecondCheck, TimePoint now)
    -> std::variant<RoutedRequest, Problem>
{
    RoutedRequest request;
    request.configuration = state.configuration.current;
    request.accepted = arrived;
    request.proofMilliseconds = proofMilliseconds (state.configuration, now);

    // The request might not end within the grace time, so the caller is sent to another node at once.
    if (state.isDrained)
        return problemWhenLeaving ({});

    if (! request.configuration)
        return withRetry (makeProblem (ErrorKind::noReplica, "no configuration yet"), freshnessRetryDelay);

    request.route = findRoute (*request.configuration, caller.host, caller.path);

    if (request.route == nullptr)
        return deny (state, makeProblem (ErrorKind::notFound), now);

    if (request.route->kind == RouteKind::stream && ! caller.invalidResumption.empty())
        return deny (state, makeProblem (ErrorKind::invalidRequest, caller.invalidResumption), now);

    auto account = authenticate (state, caller, *request.route, now);

    if (auto* refusal = std::get_if<Problem> (&account))
        return std::move (*refusal);

    request.account = std::get<std::shared_ptr<const RoutedAccount>> (std::move (account));

    request.service = pickService (*request.route, randomFraction());
    request.subjects = { fingerprintOf (state.fleetSecret, contentOf (caller, request.accountName())),
                         sharedParts (caller, request.service) };

    if (auto refusal = checkCrashes (state, caller, request.subjects, now))
        return std::move (*refusal);

    if (caller.timeLimit && *caller.timeLimit <= Duration::zero())
        return makeProblem (ErrorKind::overloaded, "the caller's time is over");

    const auto timeLimit = caller.timeLimit.value_or (request.route->timeout);
    request.deadline = arrived + std::min (timeLimit, request.route->timeout);

    if (state.stop && verdictAtStop (atStop (request), *state.stop, now) == StopVerdict::refused)
        return problemWhenLeaving ("the answer might come after this node's end");

    if (request.account)
        if (auto refusal = checkQuota (state, caller, *request.account, isSecondCheck, now))
            return std::move (*refusal);

    request.caller = std::move (caller);
    return request;
}

auto problemOfInput (const ServingState& state, const RejectedInput& input, TimePoint now) -> Problem
{
    // The limits on headers, bodies and waiting times are the configuration's.
    const auto isByLimit = input.kind == ErrorKind::headerTooLarge || input.kind == ErrorKind::bodyTooLarge ||
                           input.kind == ErrorKind::callerTimeout;
    auto problem = makeProblem (input.kind);
    return isByLimit ? deny (state, std::move (problem), now) : problem;
}

auto handleRouted (ServingState& state, Exchange& exchange, std::variant<CallerRequest, Problem> read)
    -> Task<void>
{
    state.counts.requests.add();

    if (state.leaving)
        exchange.closeAfterResponse();

    if (const auto* problem = std::get_if<Problem> (&read))
    {
        LogLine ("malformed")
            .with ("request", state.protocol.requestId (exchange.request()))
            .with ("detail", problem->detail)
            .info();
        co_await exchange.respond (state.protocol.problem (*problem, {}));
        co_return;
    }

    auto& caller = std::get<CallerRequest> (read);
    const auto id = caller.id;
    const auto arrived = BootClock::now();
    co_await waitForStart (state, caller, arrived);

    auto now = BootClock::now();
    auto isSecondCheck = false;
    auto admitted = admit (state, caller, arrived, isSecondCheck, now);

    if (isOverLimit (admitted) && ! hasSettledLimits (state))
    {
        co_await waitForLimits (state, caller, arrived);
        now = BootClock::now();
        isSecondCheck = true;
        admitted = admit (state, caller, arrived, isSecondCheck, now);
    }

    if (const auto* refusal = std::get_if<Problem> (&admitted))
    {
        logRefusal (state, caller, *refusal, now);
        co_await exchange.respond (state.protocol.problem (*refusal, id));
        co_return;
    }

    auto request = std::get<RoutedRequest> (std::move (admitted));

    if (request.route->kind == RouteKind::stream && request.caller.resumesStream)
        if (const auto refusal = co_await findResumedStream (state, request))
        {
            logRefusal (state, request.caller, *refusal, BootClock::now());
            co_await exchange.respond (state.protocol.problem (*refusal, id));
            co_return;
        }

    RoutedRequestRunner runner (state, exchange, std::move (request));
    co_await runner.run();
}

} // namespace snowrudder
