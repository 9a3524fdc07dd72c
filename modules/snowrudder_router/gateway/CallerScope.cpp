#include "CallerScope.h"

namespace snowrudder
{

auto respondProblem (RouterState& state,
                     Exchange& exchange,
                     const Problem& problem,
                     std::string_view requestId) -> Task<void>
{
    state.counts.countError (problem.kind);
    co_await exchange.respond (problemResponse (problem, requestId));
}

auto rejectionResponse (RouterState& state, ErrorKind kind) -> HttpResponse
{
    state.counts.countError (kind);
    return problemResponse (makeProblem (kind), "");
}

auto readIdempotencyKey (const Exchange& exchange) -> std::variant<std::string, Problem>
{
    const auto text = exchange.header ("Idempotency-Key");

    if (text.empty())
        return std::string();

    const auto uuid = parseUuid (text);

    if (! uuid)
        return makeProblem (ErrorKind::invalidRequest, "Idempotency-Key must be a UUID of version 7");

    return toString (*uuid);
}

AccountAdmission::AccountAdmission (RouterState& routerState,
                                    const AccountView& accountView,
                                    std::optional<Problem>& problem)
    : state (routerState), account (accountView.name)
{
    const AccountLimits limits { accountView.requestsPerSecond, accountView.concurrentRequests };
    constexpr auto fullShare = 1.0;
    const auto admission = state.accounts.admit (account, limits, fullShare, BootClock::now());
    admitted = admission.admitted;

    if (admitted)
        return;

    problem = makeProblem (ErrorKind::rateLimited);
    problem->retryAfter = admission.retryAfter;
}

AccountAdmission::~AccountAdmission()
{
    if (admitted)
        state.accounts.leave (account);
}

auto checkCrashVerdict (RouterState& state, const RequestFingerprint& fingerprint, std::string_view requestId)
    -> std::optional<Problem>
{
    const auto now = BootClock::now();
    const auto assessment = state.crashes.assess (fingerprint, now);

    if (assessment.verdict != CrashVerdict::stopped)
        return {};

    state.crashes.reportStopped (fingerprint, requestId, assessment, now);
    const auto mayHaveRun = false;
    return problemWhenStopped (mayHaveRun);
}

auto overloadProblem (const ServiceQueues::PermitOutcome& permit) -> Problem
{
    auto problem = makeProblem (ErrorKind::overloaded);
    problem.retryAfter = permit.retryAfter;
    return problem;
}

auto logRoutingDecision (std::string_view requestId,
                         std::string_view account,
                         const TakenReplica& taken,
                         std::uint32_t attempt) -> void
{
    if (! isLogged (LogLevel::info))
        return;

    std::string scores;

    for (auto index = std::size_t { 0 }; index < taken.choice.candidates.size(); ++index)
    {
        scores += index == 0 ? "" : ",";
        scores += taken.candidateNames[index] + ":" +
                  std::to_string (static_cast<long> (taken.choice.candidates[index].score));
    }

    LogLine ("route")
        .with ("request", requestId)
        .with ("account", account)
        .with ("service", taken.ticket.info.service)
        .with ("attempt", attempt)
        .with ("replica", taken.ticket.info.name)
        .with ("vm", taken.ticket.info.vm)
        .with ("failure_domain", taken.ticket.info.failureDomain)
        .with ("scores", scores)
        .with ("usable", taken.choice.usable)
        .with ("reason", taken.choice.reason)
        .info();
}

auto queueDeadline (const ServiceView& service, TimePoint now, TimePoint deadline) -> TimePoint
{
    // The latency target of 1.6 s to the first token leaves this much time for the queue.
    constexpr auto defaultMaxWait = std::chrono::milliseconds (1200);
    const auto& settings = service.settings;
    const auto maxWait = settings.has_longest_wait_milliseconds()
                             ? std::chrono::milliseconds (settings.longest_wait_milliseconds())
                             : defaultMaxWait;
    return std::min (now + maxWait, deadline);
}

auto choiceWeights (const ServiceView& service) -> ChoiceWeights
{
    ChoiceWeights weights;
    const auto& given = service.settings.weights();

    if (given.has_recompute())
        weights.recompute = given.recompute();

    if (given.has_queue())
        weights.queue = given.queue();

    if (given.has_busy_slot())
        weights.busySlot = given.busy_slot();

    if (given.has_free_wait())
        weights.freeWait = given.free_wait();

    if (given.has_assumed_cached())
        weights.assumedCached = given.assumed_cached();

    if (given.has_anchor_bytes())
        weights.anchorBytes = given.anchor_bytes();

    if (given.has_full_occupancy())
        weights.fullOccupancy = given.full_occupancy();

    return weights;
}

} // namespace snowrudder
