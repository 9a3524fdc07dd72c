#pragma once

#include "../node/ServingState.h"
#include "EventAssembler.h"
#include "RoutedPrompt.h"

#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** Serves one admitted request: waits for a place, chooses a replica, passes the answer on as it comes, and tries
    another replica where the request allows it. It lives as long as the caller's exchange: a caller that leaves ends it.
*/
class RoutedRequestRunner
{
public:
    RoutedRequestRunner (ServingState& servingState, Exchange& callerExchange, RoutedRequest routedRequest);
    ~RoutedRequestRunner();

    RoutedRequestRunner (const RoutedRequestRunner&) = delete;
    auto operator= (const RoutedRequestRunner&) -> RoutedRequestRunner& = delete;

    /** Serves the request to its end. */
    auto run() -> Task<void>;

private:
    /** Why an attempt came to nothing; nothing where the caller has its answer. */
    using Failure = std::optional<AttemptOutcome>;

    auto enterQueue() -> Task<ServiceQueues::PermitOutcome>;
    auto runAttempts() -> Task<void>;
    auto attempt() -> Task<Failure>;
    auto waitForVerdict() -> Task<CrashJudgement>;
    [[nodiscard]] auto versionRule (bool isFirst) const -> VersionRule;
    /** @returns the rule for the present attempt; an unproved version gets it only with a retry in hand. */
    auto ruleForAttempt() -> VersionRule;
    auto selectReplica (const CrashJudgement& judgement) -> std::optional<TakenReplica>;
    auto selectByRule (ChoiceInput input, const VersionRule& rule, TimePoint now)
        -> std::optional<TakenReplica>;
    auto recordForRollout (const ReplicaTicket& ticket, const Failure& outcome, const UpstreamCall& call)
        -> void;
    auto callReplica (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Failure>;
    auto processHead (UpstreamCall& call, const UpstreamAnswer& answer, ReplicaTicket& ticket) -> Failure;
    auto relayPlain (UpstreamCall& call) -> Task<Failure>;
    auto relayStream (UpstreamCall& call) -> Task<Failure>;
    auto examineReplica (const AttemptOutcome& outcome) -> Task<std::string_view>;
    auto decide (const AttemptOutcome& outcome) -> RetryDecision;
    auto respondWithFailure (const AttemptOutcome& outcome, const RetryDecision& decision) -> Task<void>;
    auto respondWithProblem (Problem problem) -> Task<void>;
    auto countUsage() -> void;
    auto recordSuccess (const UpstreamCall& call) -> void;
    auto recordPause() -> void;
    auto onCallerGone() -> void;
    auto logEnd (std::string_view outcome, unsigned status) -> void;

    /** @returns attempts that may have run, the present one included. */
    [[nodiscard]] auto possibleRuns() const -> std::uint32_t
    {
        return attemptCount - failures.declined - failures.metNobody;
    }
    [[nodiscard]] auto attemptFields (const ReplicaTicket& ticket) const -> AttemptFields;
    [[nodiscard]] auto timeouts() const -> CallTimeouts;
    [[nodiscard]] auto mayRunAgain() const -> bool;
    [[nodiscard]] auto makeOutcome (const UpstreamCall& call, FailureCause cause) const -> AttemptOutcome;

    ServingState& state;
    Exchange& exchange;
    RoutedRequest request;

    RoutedPrompt prompt;
    std::vector<ReplicaNumber> tried;
    /** Attempts, the present one included. */
    std::uint32_t attemptCount = 0;
    AttemptCount failures;
    /** The replica of the present attempt; none where none was usable. */
    ReplicaNumber lastNumber = 0;
    ReplicaInfo lastReplica;
    /** When the present attempt was sent. */
    TimePoint sentAt {};
    /** From the present attempt's send to the head of its answer. */
    std::optional<Duration> attemptFirstByte;
    /** From the request's arrival to the head of the answer. */
    std::optional<Duration> firstByte;
    /** When events were last passed on, and the longest time between two of them: users see both in a slow stream. */
    std::optional<TimePoint> lastEventsAt;
    Duration longestPause {};
    UpstreamCall* currentCall = nullptr;
    bool isCallerGone = false;
    bool isUsageCounted = false;
    /** Whether a retry was taken from the budget before an attempt on an unproved version. */
    bool hasReservedRetry = false;
    EventAssembler events;
};

} // namespace snowrudder
