#include "PlainCall.h"

#include <vector>

namespace snowrudder
{

namespace
{

/** One attempt: an answer, or why there is none. */
using AttemptResult = std::variant<std::unique_ptr<PlainAnswer>, AttemptOutcome>;

auto isRefusal (const ServiceView& service, unsigned status) -> bool
{
    const auto& statuses = service.settings.refusal_statuses();
    return std::find (statuses.begin(), statuses.end(), status) != statuses.end();
}

auto attemptOn (RouterState& state, Worker& worker, const PlainCallInput& input, const ReplicaTicket& ticket)
    -> Task<AttemptResult>
{
    auto timeouts = state.timeouts.call;
    timeouts.firstByte = std::min (timeouts.firstByte, input.deadline - SteadyClock::now());

    auto owned = std::make_unique<UpstreamCall> (worker.pool, parseEndpoint (ticket.info.endpoint), timeouts);
    auto& call = *owned;
    auto answer = std::make_unique<PlainAnswer> (state, ticket, std::move (owned));

    const auto failed = [&] (FailureCause cause)
    {
        const AttemptOutcome outcome { call.stage(), cause };
        answer->health = healthOf (outcome);
        return outcome;
    };

    if (input.request.method() == http::verb::head)
        call.expectNoBody();

    if (co_await call.connect (input.repeatable))
        co_return failed (FailureCause::connectFailed);

    if (const auto error = co_await call.sendAndReadHeader (input.request))
        co_return failed (failureOf (error));

    if (isRefusal (*input.service, call.status()))
        co_return failed (FailureCause::refused);

    if (const auto bodyError = co_await readAhead (call, answer->body))
        co_return failed (failureOf (bodyError));

    co_return answer;
}

auto waitForVerdict (RouterState& state, Worker& worker, const PlainCallInput& input) -> Task<CrashJudgement>
{
    return state.crashes.waitForVerdict (worker.loop, input.fingerprint, input.service->name,
                                         [end = input.deadline] { return SteadyClock::now() >= end; });
}

/** @returns what became of the replica of an attempt, for the log. */
auto replicaAfter (RouterState& state,
                   Worker& worker,
                   const PlainCallInput& input,
                   const ReplicaTicket& ticket,
                   const AttemptResult& result) -> Task<std::string_view>
{
    const auto* outcome = std::get_if<AttemptOutcome> (&result);

    if (outcome == nullptr || ! mayShowCrash (*outcome))
        co_return "not_asked";

    WatchedAttempt ended { input.fingerprint, toString (input.id), input.account->name,
                           ticket.number,     ticket.info,         SteadyClock::now() };
    co_return co_await state.crashes.examine (worker.probes, std::move (ended));
}

} // namespace

auto makeCallRecord (const PlainCallInput& input, std::uint64_t contentHash) -> std::shared_ptr<RequestRecord>
{
    RequestIdentity identity;
    identity.id = input.id;
    identity.account = input.account->name;
    identity.service = input.service->name;
    identity.accepted = SteadyClock::now();
    identity.deadline = input.deadline;
    identity.contentHash = contentHash;
    // Apart from its count of references: a key refers to it weakly for ten minutes, and would hold its 728 bytes for as long.
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
        const auto judgement = co_await waitForVerdict (state, worker, input);

        if (judgement.verdict == CrashVerdict::stopped)
        {
            state.crashes.noteStopped (input.fingerprint, idText, judgement, SteadyClock::now());
            co_return problemWhenStopped (retry.mayHaveRun);
        }

        // The wait for a verdict may have outlasted the call's time.
        if (SteadyClock::now() >= input.deadline)
            co_return makeProblem (ErrorKind::deadlineExceeded, retry.mayHaveRun ? Ran::unknown : Ran::no,
                                   {});

        state.counts.attempts.add();
        const CrashWatch::Running running (state.crashes, input.fingerprint);
        ChoiceInput choice;
        choice.tried = tried;
        const SuspectRanking ranking (state.crashes.table(), input.fingerprint, judgement, 0.0);
        ranking.applyTo (choice);

        AttemptResult result = AttemptOutcome { CallStage::notSent, FailureCause::noReplica };
        std::string_view after = "not_asked";

        if (const auto taken = state.replicas.take (input.service->name, choice,
                                                    choiceWeights (*input.service), SteadyClock::now()))
        {
            logDecision (idText, input.account->name, *taken, attempt);
            tried.push_back (taken->ticket.number);
            result = co_await attemptOn (state, worker, input, taken->ticket);
            after = co_await replicaAfter (state, worker, input, taken->ticket, result);
        }
        else
        {
            tried.clear();
        }

        if (auto* answer = std::get_if<std::unique_ptr<PlainAnswer>> (&result))
            co_return std::move (*answer);

        const auto outcome = std::get<AttemptOutcome> (result);
        noteFailed (failures, outcome);
        retry.attempts = countedAttempts (failures, 0);
        retry.jitter = randomFraction();
        auto decision = decideAfterFailure (outcome, retry, SteadyClock::now());
        retry.mayHaveRun = retry.mayHaveRun || ranAfter (outcome) != Ran::no;

        if (decision.again && decision.takesBudget)
            decision.again = state.retryBudgets.take (input.account->name, input.service->name);

        attemptFailed (idText, attempt, outcome, decision).with ("replica_address", after).info();

        if (! decision.again)
            co_return problemAfter (outcome, decision);

        requireInvariant (input.repeatable || ! retry.mayHaveRun,
                          "a request marked not repeatable runs at most once");
        state.counts.retries.add();
        co_await pauseFor (worker.loop, decision.pause);
    }
}

} // namespace snowrudder
