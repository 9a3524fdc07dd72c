#pragma once

#include "../gateway/CallerScope.h"

#include "snowrudder_chat/snowrudder_chat.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** Produces the answer of one accepted model request: waits in the service's queue, chooses a replica, writes the
    engine's stream into the record, and continues on another replica when the replica fails or leaves. It runs
    independently of the caller's connection, so that the caller can disconnect and resume.
*/
class ModelRun : public std::enable_shared_from_this<ModelRun>
{
public:
    using RecordPointer = std::shared_ptr<RequestRecord>;

    ModelRun (RouterState& routerState,
              Worker& runWorker,
              RecordPointer requestRecord,
              ChatRequest chatRequest,
              std::shared_ptr<const AccountView> accountView,
              std::shared_ptr<const ServiceView> serviceView);

    /** Continues an answer that another router began. Call it before `start`.

        @param first         token counts of the first attempt
        @param answerTokens  number of answer tokens that the record already holds
    */
    auto continueFrom (const Usage& first, std::uint32_t answerTokens) -> void;

    /** Starts the run on the worker's loop. The run ends on its own, with the record finished or failed.

        @param admitted  admission of the client account, held until the run ends
    */
    auto start (std::shared_ptr<AccountAdmission> admitted) -> void;

    [[nodiscard]] auto requestFingerprint() const -> const RequestFingerprint& { return fingerprint; }

private:
    using Outcome = std::optional<AttemptOutcome>;

    auto run (std::shared_ptr<AccountAdmission> admitted) -> Task<void>;
    auto runAttempts() -> Task<void>;
    auto attempt() -> Task<Outcome>;
    auto waitForVerdict() -> Task<CrashAssessment>;
    auto examineReplica (const AttemptOutcome& outcome) -> Task<std::string_view>;
    auto callReplica (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Outcome>;
    auto readRefusal (UpstreamCall& call) -> Task<Outcome>;
    auto relayStream (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Outcome>;
    auto processEvent (ChatEvent event, ReplicaTicket& ticket) -> Outcome;
    auto processChunk (const ChatChunk& chunk, ReplicaTicket& ticket) -> void;
    auto processUsage (const Usage& usage, ReplicaTicket& ticket) -> void;
    auto applyBackpressure() -> Task<void>;
    auto waitForReadInterval() -> Task<void>;
    auto exportCache (const ReplicaInfo& replica) -> Task<void>;
    auto importCache (const ReplicaInfo& replica) -> Task<void>;
    auto decideRetry (const AttemptOutcome& outcome) -> RetryDecision;
    auto fail (const AttemptOutcome& outcome, const RetryDecision& decision) -> void;
    auto onInterrupt (FailureCause cause) -> void;
    auto engineRequest() const -> HttpRequest;
    auto enginePriority() const -> std::uint32_t;
    auto attemptId() const -> std::string;
    auto interruptCauseOr (FailureCause cause) const -> FailureCause;

    RouterState& state;
    Worker& worker;
    RecordPointer record;
    std::shared_ptr<const ChatRequest> request;
    std::shared_ptr<const AccountView> account;
    std::shared_ptr<const ServiceView> service;

    std::string idText;
    RequestFingerprint fingerprint;
    std::vector<std::uint64_t> blocks;
    double promptTokens = 0.0;
    std::vector<ReplicaNumber> tried;
    std::uint32_t attempts = 0;
    AttemptCount failures;
    bool mayHaveRun = false;
    /** Whether the client account was above its fair share of the queue when the attempt began. */
    bool isOverShare = false;

    /** Number of answer tokens from previous attempts, and from the current one. */
    std::uint32_t previousTokens = 0;
    std::uint32_t attemptTokens = 0;
    std::optional<Usage> firstUsage;
    bool isUsageReceived = false;
    std::string finishReason;
    TimePoint lastToken {};

    /** Cache blocks exported by the previous replica, as JSON, to be imported by the next one. */
    std::string exportedCache;

    /** The replica of the current attempt. */
    ReplicaNumber lastReplicaNumber = 0;
    ReplicaInfo lastReplica;
    UpstreamCall* currentCall = nullptr;
    std::optional<FailureCause> interruptCause;
    /** The problem that an upstream reported about the request itself. */
    std::optional<Problem> upstreamProblem;
    std::shared_ptr<Signal> signal;
    BootTimer readTimer;
    TimePoint lastRead {};
};

} // namespace snowrudder
