#pragma once

#include "CrashProof.h"
#include "SharedProbes.h"

#include "snowrudder_requests/snowrudder_requests.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snowrudder
{

/** An attempt whose connection to its replica ended, with the data needed to find out whether the replica crashed. */
struct InterruptedAttempt
{
    CrashSubjects subjects;
    /** Identifier of the request, for the log. */
    std::string requestId;
    std::string account;
    ReplicaNumber number = 0;
    ReplicaInfo replica;
    /** When its connection ended. */
    TimePoint ended {};
    /** How long the replica had been answering, or working on the request where no answer had begun. */
    Duration ranFor {};
    /** When the replica's address was last probed after its directory entry had expired. */
    TimePoint probedAt = longAgo;
};

/** Whether a replica keeps its name when it restarts. */
enum class ReplicaNaming
{
    /** A replica that restarts has the same name. */
    reusedAcrossRestarts,
    /** A replica that restarts has a new name. */
    uniquePerStart
};

/** Detects which requests were running on replicas that crashed, and keeps this as evidence against the requests and
    the parts of their prompts. The end of a connection alone is no proof of a crash: answers are lost, connections are reset, and replicas stop after
    a planned drain. Thread-safe.
*/
class CrashMonitor
{
public:
    CrashMonitor (Metrics& metrics, ReplicaTable& replicaTable, ReplicaNaming replicaNaming);

    /** Probes whether the replica of an interrupted attempt has crashed, and records the evidence.

        @returns the result of the probe, as a value for the log
    */
    auto examine (SharedProbes& probes, InterruptedAttempt attempt) -> Task<std::string_view>;

    /** Rechecks attempts for which a crash was neither confirmed nor ruled out: the replica's entry may have expired,
        or another replica may have its address. Call several times a second.

        @param probes  probes of the event loop on which this is called; addresses of expired entries are probed in
                       the background
    */
    auto recheckUnconfirmed (SharedProbes& probes, TimePoint now) -> void;

    /** Merges evidence received from another node.

        @param from           name of that node, for the log
        @param shouldForward  whether this node forwards evidence that is new to it
    */
    auto receiveEvidence (const std::vector<CrashEvidence>& received,
                          std::string_view from,
                          bool shouldForward,
                          TimePoint now) -> void;

    /** @returns whether a request may be sent to a replica now. */
    [[nodiscard]] auto assess (const CrashSubjects& subjects, TimePoint now) const -> CrashAssessment
    {
        return records.assess (subjects, now);
    }

    /** Records and logs that a request was not sent to a replica because of its verdict. */
    auto reportStopped (const RequestFingerprint& request,
                        std::string_view requestId,
                        const CrashAssessment& assessment,
                        TimePoint now) -> void;

    /** Records that a replica answered a request completely and successfully.

        @param began  when the answer began
    */
    auto recordSuccess (const CrashSubjects& subjects, TimePoint began, TimePoint now) -> void;

    /** Records that a replica has not crashed during the first `provenRunTime` of an answer.

        @param began  when the answer began
    */
    auto recordProvenRun (const CrashSubjects& subjects, TimePoint began, TimePoint now) -> void;

    /** @returns all evidence. Crashes are recorded with examine() and receiveEvidence(), successes with recordSuccess(). */
    [[nodiscard]] auto evidence() -> CrashRecords& { return records; }

    /** Sets the gauges that count requests and parts with evidence of crashes. */
    auto publishSizes (TimePoint now) -> void;

    /** Waits until a request may be sent or is stopped. A suspected request runs only once at a time on this node,
        and after several crashes it first waits for evidence from other nodes to arrive.

        @param service      service that would run the request
        @param isCancelled  whether to stop waiting, since the caller no longer waits for the answer
    */
    auto waitForVerdict (asio::io_context& loop,
                         CrashSubjects subjects,
                         std::string service,
                         std::function<bool()> isCancelled) -> Task<CrashAssessment>;

    /** Called when there is new evidence to send to other nodes. Set once, before the first request. */
    std::function<void()> onNewEvidence;

private:
    auto confirmCrash (const InterruptedAttempt& attempt, std::string_view proof) -> void;
    auto reportOpenEnd (const InterruptedAttempt& attempt) -> void;
    /** @param refuted  parts that a run of a request has cleared */
    auto reportRefuted (const std::vector<RequestFingerprint>& refuted, TimePoint began, TimePoint now)
        -> void;
    auto addUnconfirmed (InterruptedAttempt attempt) -> void;
    /** @returns how the replica of an attempt is listed; `replaced` also if its entry is gone and its address has
                 another replica
    */
    [[nodiscard]] auto listingOf (const InterruptedAttempt& attempt) const -> ReplicaListing;
    [[nodiscard]] auto toReplicaCrash (const InterruptedAttempt& attempt) const -> ReplicaCrash;
    /** @param expired  attempts on one replica, whose directory entry has expired */
    auto probeExpiredReplica (SharedProbes& probes, std::vector<InterruptedAttempt> expired) -> Task<void>;
    [[nodiscard]] auto suspectConditions (const CrashAssessment& assessment, const std::string& service) const
        -> SuspectContext;

    ReplicaTable& replicas;
    const ReplicaNaming naming;
    Counter& confirmedCrashes;
    Counter& requestsStopped;
    Metrics& metrics;
    CrashRecords records;
    mutable std::mutex mutex;
    std::vector<InterruptedAttempt> unconfirmedAttempts;
};

} // namespace snowrudder
