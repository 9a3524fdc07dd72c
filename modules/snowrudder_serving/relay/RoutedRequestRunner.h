#pragma once

#include "../node/ServingState.h"
#include "AnswerUse.h"
#include "EventAssembler.h"
#include "RoutedPrompt.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** Serves one admitted request: waits in the service's queue for a permit, selects a replica, relays the answer as it
    arrives, and retries on another replica where the request allows it. Its lifetime is that of the caller's exchange:
    the request is cancelled when the caller disconnects.
*/
class RoutedRequestRunner
{
public:
    RoutedRequestRunner (ServingState& servingState, Exchange& callerExchange, RoutedRequest routedRequest);
    ~RoutedRequestRunner();

    RoutedRequestRunner (const RoutedRequestRunner&) = delete;
    auto operator= (const RoutedRequestRunner&) -> RoutedRequestRunner& = delete;

    /** Serves the request until the caller has its answer or has disconnected. */
    auto run() -> Task<void>;

private:
    /** Why an attempt failed; empty if the caller has received its answer. */
    using Failure = std::optional<AttemptOutcome>;

    auto enterQueue() -> Task<ServiceQueues::PermitOutcome>;
    /** @returns the error for a request that left the queue without a permit. */
    [[nodiscard]] auto problemWithoutPermit (Duration retryAfter) const -> Problem;
    /** @returns until when the request may wait before it is sent. */
    [[nodiscard]] auto endOfWaiting() const -> TimePoint;
    /** Waits while all places are taken that this node may use. */
    auto waitForPlace() -> Task<void>;
    /** Adapts the request to this node's shutdown, and ends it when that is due. */
    auto followStop() -> void;
    auto cutDeadlineAtStop (TimePoint now) -> void;
    /** @returns whether the request must not be sent any more because this node shuts down. */
    [[nodiscard]] auto isRefusedByStop() const -> bool;
    /** @returns whether this node's end comes before the deadline that the caller and the route set. */
    [[nodiscard]] auto isCutShort() const -> bool { return request.deadline < askedDeadline; }
    /** @returns why the current attempt must not begin, or nothing. */
    [[nodiscard]] auto failureBeforeSending() const -> Failure;
    auto runAttempts() -> Task<void>;
    auto attempt() -> Task<Failure>;
    auto waitForVerdict() -> Task<CrashAssessment>;
    [[nodiscard]] auto versionRule (bool isFirst) const -> VersionRule;
    /** @returns which versions the current attempt may use. An unproven version is allowed only if a retry has been
        reserved from the budget.
    */
    auto ruleForAttempt() -> VersionRule;
    /** @returns whether the current attempt's answer continues a stream, of which the caller has a part. */
    [[nodiscard]] auto goesOn() const -> bool { return exchange.hasBegun() || request.caller.resumesStream; }
    /** Waits until the list of replicas is proven as of a time after the stream began and after the connection to `lastReplica`
        was made: the processes of both replicas then have the versions that they are listed with.

        @returns false if no such proof comes in time, or a replica has been listed with two versions
    */
    auto waitForVersionProof (TimePoint connectedAt) -> Task<bool>;
    /** Binds the request to the version of the replica whose answer begins now. */
    auto bindVersion() -> void;
    /** @returns whether no replica of the version to which the request is bound can go on. */
    [[nodiscard]] auto isVersionGone() const -> bool;
    auto selectReplica (const CrashAssessment& assessment) -> std::optional<TakenReplica>;
    auto selectByRule (ChoiceInput input, const VersionRule& rule, TimePoint now)
        -> std::optional<TakenReplica>;
    /** @param status  status of the answer, if there is one */
    auto recordForRollout (const Failure& outcome, unsigned status) -> void;
    /** Ends an attempt for which no replica may be used. */
    auto outcomeWithoutReplica() -> AttemptOutcome;
    auto callReplica (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Failure>;
    /** Connects to `lastReplica`, through another node if this node has lost its paths. */
    auto logRoute (const TakenReplica& taken) const -> void;
    auto connect (UpstreamCall& call) -> Task<Failure>;
    /** @returns whether the current attempt tries a direct connection although this node's paths are taken for lost. */
    auto triesPaths() -> bool;
    /** Takes a retry from the budget for the case that the current attempt fails.

        @returns whether there was one left
    */
    auto reserveRetry() -> bool;
    auto recordBytes (const UpstreamCall& call) -> void;
    auto recordNewConnectionEnd (const UpstreamCall& call, const Failure& outcome) -> void;
    auto processHead (UpstreamCall& call, const UpstreamAnswer& answer, ReplicaTicket& ticket) -> Failure;
    /** Logs what a replica states of itself and could not be read, and what it states of leaving and rest. */
    auto logUnreadable (const UpstreamAnswer& answer) const -> void;
    auto logStated (const UpstreamAnswer& answer, TimePoint now) const -> void;
    auto recordStatements (const UpstreamAnswer& answer, const ReplicaTicket& ticket, TimePoint now) -> void;
    /** Records that a replica asks for rest. */
    auto recordRest (const UpstreamAnswer& answer, TimePoint now) -> void;
    /** Records what an answer shows of its replica's leaving. */
    auto recordLeaving (const UpstreamAnswer& answer, TimePoint now) -> void;
    auto relayPlain (UpstreamCall& call) -> Task<Failure>;
    auto relayStream (UpstreamCall& call) -> Task<Failure>;
    auto examineReplica (const AttemptOutcome& outcome) -> Task<std::string_view>;
    auto decide (const AttemptOutcome& outcome) -> RetryDecision;
    auto respondWithFailure (const AttemptOutcome& outcome, const RetryDecision& decision) -> Task<void>;
    /** @returns how long a replica takes to start that is ordered, if replicas of the service are. */
    [[nodiscard]] auto startTime() const -> std::optional<Duration>;
    auto respondWithProblem (Problem problem) -> Task<void>;
    auto countUsage() -> void;
    auto recordSuccess (const UpstreamCall& call) -> void;
    /** Records that the current attempt's replica has not crashed during its answer so far, once this has lasted. */
    auto recordProvenRun() -> void;
    auto recordPause() -> void;
    auto onCallerGone() -> void;
    auto logEnd (std::string_view outcome, unsigned status) -> void;

    /** @returns the number of attempts that a replica may have run, including the current one. */
    [[nodiscard]] auto possibleRuns() const -> std::uint32_t
    {
        return attemptCount - failures.declined - failures.staleEntries;
    }
    [[nodiscard]] auto attemptFields (const ReplicaTicket& ticket) const -> AttemptFields;
    [[nodiscard]] auto timeouts() const -> CallTimeouts;
    [[nodiscard]] auto mayRunAgain() const -> bool;
    [[nodiscard]] auto callerProgress() const -> CallerProgress;
    /** @returns when the current attempt's answer began, or nothing if it has not. */
    [[nodiscard]] auto answerBegan() const -> std::optional<TimePoint>
    {
        return attemptFirstByte ? std::optional (sentAt + *attemptFirstByte) : std::nullopt;
    }
    /** @returns how the last attempt's answer is framed, for the log. */
    [[nodiscard]] auto framingName() const -> std::string_view
    {
        return framing ? toString (*framing) : std::string_view ("none");
    }
    [[nodiscard]] auto makeOutcome (const UpstreamCall& call, FailureCause cause) const -> AttemptOutcome;

    ServingState& state;
    Exchange& exchange;
    RoutedRequest request;
    /** The deadline that the caller and the route set. */
    const TimePoint askedDeadline;
    /** Ends the wait in the queue. */
    const std::shared_ptr<Signal> queueWake;
    const ListedRequest listedRequest;

    RoutedPrompt prompt;
    std::vector<ReplicaNumber> tried;
    /** Number of attempts, including the current one. */
    std::uint32_t attemptCount = 0;
    AttemptCount failures;
    /** The replica of the current attempt; `lastReplica` is empty if no replica was usable. */
    ReplicaNumber lastNumber = 0;
    ReplicaInfo lastReplica;
    double lastExpectedTokens = 0.0;
    /** When the current attempt was sent. */
    TimePoint sentAt {};
    /** Time from sending the current attempt to receiving the head of its answer. */
    std::optional<Duration> attemptFirstByte;
    /** Whether the current attempt's answer has lasted for long enough to clear its prompt's parts. */
    bool isRunProven = false;
    /** Time from the request's arrival to receiving the head of the answer. */
    std::optional<Duration> firstByte;
    /** How the answer of the current attempt is framed; empty until its head was received. */
    std::optional<BodyFraming> framing;
    /** When events were last relayed, and the longest time between two of them: users notice such pauses in a slow
        stream.
    */
    std::optional<TimePoint> lastEventsAt;
    Duration longestPause {};
    UpstreamCall* currentCall = nullptr;
    /** The node that relays the current attempt's connection, if one does. */
    std::optional<RelayNodes::Endpoint> relay;
    /** Whether the replica of the current attempt rejected it and asked for rest. */
    bool hasAskedForRest = false;
    /** The current attempt if its connection is a direct one. */
    std::optional<DirectAttempt> direct;
    /** A time at which the replica that began the stream had the version to which the answer is bound, by the list of replicas
        if that is proven as of then.
    */
    TimePoint boundAt = longAgo;
    /** When the last replica's part of the answer ended early, and as of when the list of replicas was proven then. */
    TimePoint partEndedAt {};
    TimePoint provenAtPartEnd {};
    /** Name of the replica that began the answer. */
    std::string firstReplica;
    /** Whether the caller has a part of a body that isn't a stream of events. */
    bool isRelayingOther = false;
    bool isCallerGone = false;
    /** Whether the request was ended because this node is about to end. */
    bool isEndedByStop = false;
    bool isUsageCounted = false;
    /** Whether the current attempt tries paths that are taken for lost. */
    bool isPathTrial = false;
    /** Whether a retry was taken from the budget in advance, for an attempt on an unproven version or on lost paths. */
    bool hasReservedRetry = false;
    EventAssembler events;
};

} // namespace snowrudder
