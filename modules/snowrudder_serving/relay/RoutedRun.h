#pragma once

#include "../node/ServingState.h"
#include "EventAssembler.h"
#include "RoutedChoice.h"

#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** Serves one admitted request: waits for a place, chooses a replica, passes the answer on as it comes, and tries
    another replica where the request allows it. It lives as long as the caller's exchange: a caller that leaves ends it.
*/
class RoutedRun
{
public:
    RoutedRun (ServingState& servingState, Exchange& callerExchange, RoutedRequest routedRequest);
    ~RoutedRun();

    RoutedRun (const RoutedRun&) = delete;
    auto operator= (const RoutedRun&) -> RoutedRun& = delete;

    /** Serves the request to its end. */
    auto run() -> Task<void>;

private:
    /** Why an attempt came to nothing; nothing where the caller has its answer. */
    using Failure = std::optional<AttemptOutcome>;

    auto enterQueue() -> Task<ServiceQueues::Place>;
    auto runAttempts() -> Task<void>;
    auto attempt() -> Task<Failure>;
    auto waitForVerdict() -> Task<CrashAssessment>;
    [[nodiscard]] auto ruleOf (bool isFirst) const -> VersionRule;
    /** @returns the rule for the present attempt; an unproved version gets it only with a retry in hand. */
    auto affordableRule() -> VersionRule;
    auto takeReplica (const CrashAssessment& assessment) -> std::optional<TakenReplica>;
    auto takeByRule (ChoiceInput input, const VersionRule& rule, TimePoint now)
        -> std::optional<TakenReplica>;
    auto noteForRollout (const ReplicaTicket& ticket, const Failure& outcome, const UpstreamCall& call)
        -> void;
    auto callReplica (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Failure>;
    auto takeHead (UpstreamCall& call, const UpstreamAnswer& answer, ReplicaTicket& ticket) -> Failure;
    auto relayPlain (UpstreamCall& call) -> Task<Failure>;
    auto relayStream (UpstreamCall& call) -> Task<Failure>;
    auto replicaAfter (const AttemptOutcome& outcome) -> Task<std::string_view>;
    auto decide (const AttemptOutcome& outcome) -> RetryDecision;
    auto fail (const AttemptOutcome& outcome, const RetryDecision& decision) -> Task<void>;
    auto refuse (Problem problem) -> Task<void>;
    auto noteBegun() -> void;
    auto noteWhole (const UpstreamCall& call) -> void;
    auto notePause() -> void;
    auto onCallerGone() -> void;
    auto logEnd (std::string_view outcome, unsigned status) -> void;

    /** @returns attempts that may have run, the present one included. */
    [[nodiscard]] auto runs() const -> std::uint32_t
    {
        return sends - failures.declined - failures.staleEntries;
    }
    [[nodiscard]] auto attemptFields (const ReplicaTicket& ticket) const -> AttemptFields;
    [[nodiscard]] auto timeouts() const -> CallTimeouts;
    [[nodiscard]] auto mayRunAgain() const -> bool;
    [[nodiscard]] auto failed (const UpstreamCall& call, FailureCause cause) const -> AttemptOutcome;

    ServingState& state;
    Exchange& exchange;
    RoutedRequest request;

    RoutedPrompt prompt;
    std::vector<ReplicaNumber> tried;
    /** Attempts, the present one included. */
    std::uint32_t sends = 0;
    AttemptCount failures;
    /** The replica of the present attempt; none where none was usable. */
    ReplicaNumber lastNumber = 0;
    ReplicaInfo lastReplica;
    /** When the present attempt was sent. */
    TimePoint sent {};
    /** From the present attempt's send to the head of its answer. */
    std::optional<Duration> attemptFirstByte;
    /** From the request's arrival to the head of the answer. */
    std::optional<Duration> firstByte;
    /** When events were last passed on, and the longest time between two of them: users see both in a slow stream. */
    std::optional<TimePoint> eventsPassed;
    Duration longestPause {};
    UpstreamCall* currentCall = nullptr;
    bool isCallerGone = false;
    bool isCounted = false;
    /** Whether a retry was taken from the budget before an attempt on an unproved version. */
    bool hasRetryInHand = false;
    EventAssembler events;
};

} // namespace snowrudder
