#include "PlainCall.h"

#include <vector>

namespace snowrudder
{

namespace
{

/** Result of one attempt: an answer, or the reason why there is none. */
using AttemptResult = std::variant<std::unique_ptr<PlainAnswer>, AttemptOutcome>;

auto isRefusal (const ServiceView& service, unsigned status) -> bool
{
    const auto& statuses = service.settings.refusal_statuses();
    return std::find (statuses.begin(), statuses.end(), status) != statuses.end();
}

auto runAttempt (RouterState& state, Worker& worker, const PlainCallInput& input, const ReplicaTicket& ticket)
    -> Task<AttemptResult>
{
    auto timeouts = state.timeouts.call;
    timeouts.firstByte = std::min (timeouts.firstByte, input.deadline - BootClock::now());

    auto owned = std::make_unique<UpstreamCall> (worker.pool, parseEndpoint (ticket.info.endpoint), timeouts);
    auto& call = *owned;
    auto answer = std::make_unique<PlainAnswer> (state, ticket, std::move (owned));

    const auto failed = [&] (FailureCause cause)
    {
        const AttemptOutcome outcome { call.stage(), cause };
        answer->health = attemptHealthOf (outcome);
        return outcome;
    };

    if (input.request.method() == http::verb::head)
        call.expectNoBody();

    if (co_await call.connect (input.repeatable))
        co_return failed (FailureCause::connectFailed);

    if (const auto error = co_await call.sendAndReadHeader (input.request))
        co_return failed (failureCauseOf (error));

    if (isRefusal (*input.service, call.status()))
        co_return failed (FailureCause::refused);

    if (const auto bodyError = co_await readAhead (call, answer->body))
        co_return failed (failureCauseOf (bodyError));

    co_return answer;
}

auto waitForVerdict (RouterState& state, Worker& worker, const PlainCallInput& input) -> Task<CrashAssessment>
{
    return state.crashes.waitForVerdict (worker.loop, input.fingerprint, input.service->name,
                                         [end = input.deadline] { return BootClock::now() >= end; });
}

/** @returns the state of an attempt's replica address after a failure that may be a crash, for the log. */
auto examineReplica (RouterState& state,
                     Worker& worker,
                     const PlainCallInput& input,
                     const ReplicaTicket& ticket,
                     const AttemptResult& result) -> Task<std::string_view>
{
    const auto* outcome = std::get_if<AttemptOutcome> (&result);

    if (outcome == nullptr || ! mayIndicateCrash (*outcome))
        co_return "not_asked";

    InterruptedAttempt ended { input.fingerprint, toString (input.id), input.account->name,
                               ticket.number,     ticket.info,         BootClock::now() };
    co_return co_await state.crashes.examine (worker.probes, std::move (ended));
}

} // namespace

auto makeCallRecord (const PlainCallInput& input, std::uint64_t contentHash) -> std::shared_ptr<RequestRecord>
{
    RequestIdentity identity;
    identity.id = input.id;
    identity.account = input.account->name;
    identity.service = input.service->name;
    identity.accepted = BootClock::now();
    identity.deadline = input.deadline;
    identity.contentHash = contentHash;
    // Allocated separately from its reference count (no make_shared): a key keeps a weak pointer to the record for ten minutes,
    // which would otherwise keep the record's 728 bytes allocated for as long.
    return std::make_unique<RequestRecord> (std::move (identity));
}

auto callPlainService (RouterState& state, Worker& worker, const PlainCallInput& input) -> Task<PlainResult>
{
    const auto idText = toString (input.id);
    std::vector<ReplicaNumber> tried;
    RetryInput retry;
    retry.repeatable = input.repeatable;
    retry.deadline = input.deadline;
    AttemptCount failures;

    for (auto attempt = std::uint32_t { 1 };; ++attempt)
    {
        const auto assessment = co_await waitForVerdict (state, worker, input);

        if (assessment.verdict == CrashVerdict::stopped)
        {
            state.crashes.reportStopped (input.fingerprint, idText, assessment, BootClock::now());
            co_return problemWhenStopped (retry.mayHaveRun);
        }

        // The deadline may have passed during the wait for a verdict.
        if (BootClock::now() >= input.deadline)
            co_return makeProblem (ErrorKind::deadlineExceeded, retry.mayHaveRun ? Ran::unknown : Ran::no,
                                   {});

        state.counts.attempts.add();
        const CrashRecords::RunningAttempt running (state.crashes.evidence(), input.fingerprint,
                                                    BootClock::now());
        ChoiceInput choice;
        choice.tried = tried;
        const SuspectRanking ranking (state.crashes.evidence(), assessment, 0.0);
        ranking.applyTo (choice);

        AttemptResult result = AttemptOutcome { CallStage::notSent, FailureCause::noReplica };
        std::string_view addressState = "not_asked";

        if (const auto taken = state.replicas.take (input.service->name, choice,
                                                    choiceWeights (*input.service), BootClock::now()))
        {
            logRoutingDecision (idText, input.account->name, *taken, attempt);
            tried.push_back (taken->ticket.number);
            result = co_await runAttempt (state, worker, input, taken->ticket);
            addressState = co_await examineReplica (state, worker, input, taken->ticket, result);
        }
        else
        {
            tried.clear();
        }

        if (auto* answer = std::get_if<std::unique_ptr<PlainAnswer>> (&result))
            co_return std::move (*answer);

        const auto outcome = std::get<AttemptOutcome> (result);
        recordFailure (failures, outcome);
        retry.attempts = countedAttempts (failures, 0);
        retry.jitter = randomFraction();
        auto decision = decideAfterFailure (outcome, retry, BootClock::now());
        retry.mayHaveRun = retry.mayHaveRun || ranAfter (outcome) != Ran::no;

        if (decision.shouldRetry && decision.takesBudget)
            decision.shouldRetry = state.retryBudgets.take (input.account->name, input.service->name);

        attemptFailedLine (idText, attempt, outcome, decision).with ("replica_address", addressState).info();

        if (! decision.shouldRetry)
            co_return problemAfter (outcome, decision);

        if (! input.repeatable && retry.mayHaveRun)
        {
            state.metrics.counter ("snowrudder_broken_invariants_total").add();
            LogLine ("invariant_broken")
                .with ("request", idText)
                .with ("invariant", "a request marked not repeatable runs at most once")
                .error();
            co_return makeProblem (ErrorKind::internal);
        }

        state.counts.retries.add();
        co_await pauseFor (worker.loop, decision.pause);
    }
}

} // namespace snowrudder
