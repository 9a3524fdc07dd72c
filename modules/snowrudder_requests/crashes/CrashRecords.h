#pragma once

#include "CrashSubjects.h"
#include "CrashTable.h"

#include <functional>
#include <map>
#include <mutex>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** Pause before another trial of a part that is stopped, where the last one came to no result. */
inline constexpr auto trialPause = Duration (10s);

/** What a node knows of requests, and of parts of prompts, that crash the replicas that run them, and which of them it is
    running. Thread-safe.

    Lock order: the mutex of this object and those of the tables are never held together.
*/
class CrashRecords
{
public:
    /** Records that a replica crashed while it ran a request of this node.

        @param crash     with the time for which the request had run
        @param replicas  number of replicas of the service
        @returns         whether the crash was not known before
    */
    auto recordCrash (const CrashSubjects& subjects,
                      std::string_view account,
                      const ReplicaCrash& crash,
                      std::uint32_t replicas) -> bool;

    /** Records that a replica answered a request completely and successfully.

        @param began  when the answer began
        @returns      the parts of its prompt that were suspected or stopped, and that this refutes
    */
    auto recordSuccess (const CrashSubjects& subjects, TimePoint began, TimePoint now)
        -> std::vector<RequestFingerprint>;

    /** Records that a replica has not crashed during the first `provenRunTime` of an answer. Otherwise like
        recordSuccess(): a request may still crash its replica later, a part of its prompt has then been read.
    */
    auto recordProvenRun (const CrashSubjects& subjects, TimePoint began) -> std::vector<RequestFingerprint>;

    /** Merges evidence received from another node; see CrashTable::merge(). */
    auto merge (const CrashEvidence& received, bool shouldForward, TimePoint now) -> bool;

    /** @returns whether a request may be sent to a replica now, by the worst verdict on the request and on the parts of
        its prompt.
    */
    [[nodiscard]] auto assess (const CrashSubjects& subjects, TimePoint now) const -> CrashAssessment;

    /** @returns the verdict that one piece of evidence leads to. */
    [[nodiscard]] auto assess (const CrashEvidence& evidence, TimePoint now) const -> CrashAssessment;

    /** Records that a repeat of a request, or a request with a part, was stopped, which keeps the evidence. */
    auto recordStopped (const CrashAssessment& assessment, TimePoint now) -> void;

    /** @returns evidence to send to other nodes now, of at most `most` requests and as many parts. */
    auto takeUnsent (std::size_t most) -> std::vector<CrashEvidence>;

    /** @returns the evidence of at most `most` requests and as many parts, the stopped ones first. */
    [[nodiscard]] auto all (std::size_t most, TimePoint now) const -> std::vector<CrashEvidence>;

    /** @returns a checksum of all that is stopped; see CrashTable::digest(). */
    [[nodiscard]] auto digest (TimePoint now) const -> std::uint64_t;

    /** @returns the ranking hashes of all suspects; see CrashTable::suspectRankingHashes(). */
    [[nodiscard]] auto suspectRankingHashes() const -> std::vector<std::uint64_t>;

    /** Removes evidence that has expired. */
    auto removeExpired (TimePoint now) -> void;

    /** The evidence against requests alone. */
    [[nodiscard]] auto requestTable() -> CrashTable& { return requests; }
    [[nodiscard]] auto requestTable() const -> const CrashTable& { return requests; }
    /** The evidence against parts of prompts alone. */
    [[nodiscard]] auto partTable() const -> const CrashTable& { return parts; }

    /** Counts an attempt as running during the lifetime of this object. */
    class RunningAttempt
    {
    public:
        RunningAttempt (CrashRecords& crashRecords, const CrashSubjects& subjects, TimePoint now);
        ~RunningAttempt();

        RunningAttempt (const RunningAttempt&) = delete;
        auto operator= (const RunningAttempt&) -> RunningAttempt& = delete;

    private:
        CrashRecords& records;
        /** The request, and the parts of its prompt where there was evidence about any. */
        std::vector<RequestFingerprint> counted;
    };

    /** @returns whether this node is running a request that is suspected for the same reason. */
    [[nodiscard]] auto isRunning (const CrashAssessment& assessment) const -> bool;

    /** Whether this node tries a part that is stopped, by the part's hash: one node does so for all. Set once, before the
        first request; unset, this node does.
    */
    std::function<auto(std::uint64_t part)->bool> isTrialNode;

private:
    /** @returns whether a part that is stopped may be tried again by a request of this node. */
    [[nodiscard]] auto mayTry (const CrashAssessment& part, TimePoint now) const -> bool;

    CrashTable requests;
    CrashTable parts { CrashSubject::promptPart };
    mutable std::mutex mutex;
    std::unordered_map<RequestFingerprint, std::size_t, FingerprintHash> running;
    /** When this node last tried each part that is stopped. */
    std::unordered_map<RequestFingerprint, TimePoint, FingerprintHash> trials;
};

} // namespace snowrudder
