#pragma once

#include "FatalRequests.h"

#include <atomic>
#include <map>
#include <mutex>
#include <unordered_map>

namespace snowrudder
{

/** Whether a request may be sent to a replica. */
enum class CrashVerdict
{
    /** No crash counts against the request. */
    clear,
    /** Replicas crashed or may have crashed during the request, possibly for another reason. */
    suspected,
    /** The request will be stopped unless evidence that arrives from other nodes clears it. */
    undecided,
    /** The request ends the replicas that run it and is not sent to any. */
    stopped
};

/** A verdict with the evidence for it. */
struct CrashAssessment
{
    CrashVerdict verdict = CrashVerdict::clear;
    /** Number of crashes that count against the request. */
    std::size_t crashes = 0;
    /** Number of possible crashes that may still be confirmed. */
    std::size_t unconfirmedCrashes = 0;
    /** Time of the latest crash that counts; without one, when the request was last seen. */
    TimePoint lastCrash {};
    /** Number of requests, this one included, that have several crashes each and are not found to be fatal. */
    std::size_t suspects = 0;
    /** What the verdict is about: the request, or a part of its prompt. */
    CrashSubject subject = CrashSubject::request;
    RequestFingerprint fingerprint;
    /** Hash by which the replicas are ranked for requests that are suspected for the same reason. */
    std::uint64_t rankingHash = 0;
    /** When a part that is stopped may be tried again. */
    TimePoint nextTrial {};
    /** The parts that can't be told apart from this one so far; see PartScore. */
    RequestFingerprint group;
    std::size_t groupSize = 0;
};

/** A part that is stopped is tried again after this time at the earliest, and after the time for which it has crashed
    replicas: so the pauses between trials that fail double.
*/
inline constexpr auto minTrialPause = Duration (5min);

/** The crash evidence that this node holds about requests, or about parts of prompts, by fingerprint. Thread-safe; one
    mutex guards it.

    Its size is bounded in total and per client account, so that requests of one account don't evict those of another.
*/
class CrashTable
{
public:
    explicit CrashTable (CrashSubject tableSubject = CrashSubject::request) : subject (tableSubject) {}

    /** @returns whether there is no evidence at all. Takes no lock. */
    [[nodiscard]] auto isEmpty() const -> bool { return entryCount == 0; }

    /** Records that a replica crashed while it ran a request of this node.

        @returns  whether the crash was not known before
    */
    auto recordCrash (const RequestFingerprint& request, std::string_view account, const ReplicaCrash& crash)
        -> bool;

    /** Records that a replica crashed while it ran a request of this node that has a part in its prompt.

        @param replicas  number of replicas of the part's service
        @returns         whether the crash was not known before
    */
    auto recordPartCrash (const RequestFingerprint& part,
                          std::string_view account,
                          std::uint32_t replicas,
                          const ReplicaCrash& crash) -> bool;

    /** Records that a replica did not crash while it answered a request with a part in its prompt.

        @param began  when the answer began
        @returns      whether the part was suspected or stopped, and has fewer crashes now that count against it
    */
    auto recordPartRun (const RequestFingerprint& part, TimePoint began) -> bool;

    /** Records that a connection ended while a request of this node ran, and that the replica may have crashed.

        @returns  whether the crash is to be sent to other nodes: a request that succeeded recently is not suspected
    */
    auto recordUnconfirmedCrash (const RequestFingerprint& request,
                                 std::string_view account,
                                 const ReplicaCrash& end,
                                 TimePoint now) -> bool;

    /** Removes unconfirmed crashes of a replica that was alive after its connections ended.

        @param aliveAt  when the replica was last known to be alive
    */
    auto recordAlive (std::uint64_t replica, TimePoint aliveAt) -> void;

    /** Records that a replica answered a request completely and successfully. */
    auto recordSuccess (const RequestFingerprint& request, TimePoint now) -> void;

    /** Records that a repeat of a request was stopped, which keeps the request from expiring. */
    auto recordStopped (const RequestFingerprint& request, TimePoint now) -> void;

    /** Merges evidence received from another node. Evidence that arrives out of order or twice changes nothing.

        @param shouldForward  whether this node forwards what is new
        @returns              whether the evidence contained anything new
    */
    auto merge (const CrashEvidence& received, bool shouldForward, TimePoint now) -> bool;

    /** @returns whether a request may be sent to a replica now. */
    [[nodiscard]] auto assess (const RequestFingerprint& request, TimePoint now) const -> CrashAssessment;

    /** @returns the ranking hashes of the requests that have several crashes and are not found to be fatal, in no
        order. They are to run on separate replicas, so that a crash counts against only one of them.
    */
    [[nodiscard]] auto suspectRankingHashes() const -> std::vector<std::uint64_t>;

    /** @returns the crashes of all requests that may still be confirmed. */
    [[nodiscard]] auto unconfirmedCrashes (TimePoint now) const -> std::vector<ReplicaCrash>;

    /** @returns evidence to send to other nodes now, of at most `most` requests. Each change is returned `timesSent`
        times, since messages get lost.
    */
    auto takeUnsent (std::size_t most) -> std::vector<CrashEvidence>;

    /** @returns the evidence of at most `most` requests, the stopped ones first. */
    [[nodiscard]] auto all (std::size_t most, TimePoint now) const -> std::vector<CrashEvidence>;

    /** @returns a checksum of the stopped requests, which is equal on nodes that stop the same ones; zero if none is
        stopped.
    */
    [[nodiscard]] auto digest (TimePoint now) const -> std::uint64_t;

    /** Removes requests not seen for `retentionTime`, and those left without crashes. */
    auto removeExpired (TimePoint now) -> void;

    /** Numbers of requests in the table. */
    struct Sizes
    {
        std::size_t known = 0;
        std::size_t stopped = 0;
    };

    [[nodiscard]] auto sizes (TimePoint now) const -> Sizes;

    /** A request is removed when it has not been seen for this time. One that keeps arriving stays stopped. */
    static constexpr auto retentionTime = Duration (10min);

    /** How long the success of a part is remembered, in each of two generations. A part that has succeeded is stopped on
        more evidence than a new one.
    */
    static constexpr auto partSuccessMemory = Duration (60s);

    static constexpr auto maxRequests = std::size_t { 2048 };
    static constexpr auto maxRequestsPerAccount = std::size_t { 256 };
    static constexpr auto timesSent = std::uint32_t { 3 };

private:
    struct Entry
    {
        CrashEvidence evidence;
        std::uint32_t sendsLeft = 0;
        /** When the evidence last changed on this node. */
        TimePoint lastChange {};
        /** Time of the crash by which the request or part was found to be fatal. */
        std::optional<TimePoint> decidedAt;
        /** Whether this part was stopped, after its time to wait for evidence. It then stays so until a success. */
        mutable bool isStoppedPart = false;
        /** Whether requests with this part run apart from others. */
        bool isSuspectPart = false;
        /** See PartScore. */
        RequestFingerprint group;
        std::size_t groupSize = 0;
    };

    auto findOrAddEntry (const RequestFingerprint& request, std::uint32_t account, TimePoint now) -> Entry&;
    auto applySuccess (Entry& entry, TimePoint at) -> void;
    auto recentSuccess (const RequestFingerprint& request, TimePoint now) const -> std::optional<TimePoint>;
    auto storeSuccess (const RequestFingerprint& request, TimePoint at) -> void;
    /** @returns how long a success is remembered, in each of two generations. */
    [[nodiscard]] auto successMemory() const -> Duration;
    auto makeRoom (std::uint32_t account) -> void;
    auto updateDecisions() const -> void;
    auto updateRequestDecisions() const -> void;
    auto updatePartDecisions() const -> void;
    /** Completes evidence about a part by what this node knows of its successes, and marks it to be sent if the sender
        lacked that.
    */
    auto addPartSuccess (Entry& entry, const CrashEvidence& received, TimePoint now) -> void;
    [[nodiscard]] auto assessEntry (const Entry& entry, TimePoint now) const -> CrashAssessment;

    using Successes = std::unordered_map<RequestFingerprint, TimePoint, FingerprintHash>;

    const CrashSubject subject;
    mutable std::mutex mutex;
    mutable std::unordered_map<RequestFingerprint, Entry, FingerprintHash> entries;
    /** Size of `entries`, readable without the lock. */
    std::atomic<std::size_t> entryCount { 0 };
    /** Whether the evidence has changed since findFatalRequests() was last applied. */
    mutable bool areDecisionsStale = false;
    /** Result of suspectRankingHashes(). */
    mutable std::vector<std::uint64_t> suspects;
    std::map<std::uint32_t, std::size_t> countByAccount;
    /** Requests or parts that succeeded recently, in two generations that last `successMemory()` each. */
    Successes successes;
    Successes earlierSuccesses;
    TimePoint generationStart {};
};

} // namespace snowrudder
