#pragma once

#include "FatalRequests.h"

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
};

/** The crash evidence that this node holds, by request fingerprint. Thread-safe; one mutex guards it.

    Its size is bounded in total and per client account, so that requests of one account don't evict those of another.
*/
class CrashTable
{
public:
    /** Records that a replica crashed while it ran a request of this node.

        @returns  whether the crash was not known before
    */
    auto recordCrash (const RequestFingerprint& request, std::string_view account, const ReplicaCrash& crash)
        -> bool;

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
        /** Time of the crash by which the request was found to be fatal. */
        std::optional<TimePoint> decidedAt;
    };

    auto findOrAddEntry (const RequestFingerprint& request, std::uint32_t account, TimePoint now) -> Entry&;
    auto applySuccess (Entry& entry, TimePoint at) -> void;
    auto recentSuccess (const RequestFingerprint& request, TimePoint now) const -> std::optional<TimePoint>;
    auto storeSuccess (const RequestFingerprint& request, TimePoint now) -> void;
    auto makeRoom (std::uint32_t account) -> void;
    auto updateDecisions() const -> void;
    [[nodiscard]] auto assessEntry (const Entry& entry, TimePoint now) const -> CrashAssessment;

    using Successes = std::unordered_map<RequestFingerprint, TimePoint, FingerprintHash>;

    mutable std::mutex mutex;
    mutable std::unordered_map<RequestFingerprint, Entry, FingerprintHash> entries;
    /** Whether the evidence has changed since findFatalRequests() was last applied. */
    mutable bool areDecisionsStale = false;
    /** Result of suspectRankingHashes(). */
    mutable std::vector<std::uint64_t> suspects;
    std::map<std::uint32_t, std::size_t> countByAccount;
    /** Requests that succeeded recently, in two generations that last `successValidity` each. */
    Successes successes;
    Successes earlierSuccesses;
    TimePoint generationStart {};
};

} // namespace snowrudder
