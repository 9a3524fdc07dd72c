#pragma once

#include "../gateway/CallerScope.h"

#include "snowrudder_chat/snowrudder_chat.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** Makes the answer of one accepted model request: waits for its turn, chooses a replica, takes the engine's stream
    into the record, and goes on elsewhere when the replica is lost or leaves. It runs apart from the caller's
    connection, so that the caller may come back.
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

    /** Goes on with an answer that another router began.

        @param first         the first attempt's counts
        @param answerTokens  tokens that the record holds already
    */
    auto continueFrom (const Usage& first, std::uint32_t answerTokens) -> void;

    /** Starts the run on the worker's loop; it ends by itself, the record finished or failed.

        @param admitted  the account's admission, held for as long as the run lasts
    */
    auto start (std::shared_ptr<AccountAdmission> admitted) -> void;

    [[nodiscard]] auto requestFingerprint() const -> const RequestFingerprint& { return fingerprint; }

private:
    using Outcome = std::optional<AttemptOutcome>;

    auto run (std::shared_ptr<AccountAdmission> admitted) -> Task<void>;
    auto runAttempts() -> Task<void>;
    auto attempt() -> Task<Outcome>;
    auto waitForVerdict() -> Task<CrashJudgement>;
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
    /** Whether the account had more than its share when the attempt began. */
    bool isOverShare = false;

    /** Answer tokens from earlier attempts, and from the one in progress. */
    std::uint32_t previousTokens = 0;
    std::uint32_t attemptTokens = 0;
    std::optional<Usage> firstUsage;
    bool isUsageReceived = false;
    std::string finishReason;
    TimePoint lastToken {};

    /** Cache blocks that the replica left behind gave out, as JSON for the next one. */
    std::string exportedCache;

    /** The replica of the present attempt. */
    ReplicaNumber lastReplicaNumber = 0;
    ReplicaInfo lastReplica;
    UpstreamCall* currentCall = nullptr;
    std::optional<FailureCause> interruptCause;
    /** An upstream's own words on a request that it can't take. */
    std::optional<Problem> upstreamProblem;
    std::shared_ptr<Signal> signal;
    asio::steady_timer readTimer;
    TimePoint lastRead {};
};

} // namespace snowrudder
