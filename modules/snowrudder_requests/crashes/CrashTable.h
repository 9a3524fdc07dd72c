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
    /** Nothing speaks against it. */
    clear,
    /** Replicas ended under it; they may have ended for another reason. */
    suspected,
    /** It is about to be stopped, unless other nodes' evidence speaks for it. */
    undecided,
    /** It ends the replicas that run it: it is sent to none. */
    stopped
};

/** A verdict with what it rests on. */
struct CrashAssessment
{
    CrashVerdict verdict = CrashVerdict::clear;
    /** Replicas that ended under the request and count against it. */
    std::size_t crashes = 0;
    /** Connections that ended under it lately, of which it is not known yet whether the replica has. */
    std::size_t unconfirmedCrashes = 0;
    /** The latest of those. */
    TimePoint lastCrash {};
    /** Requests that may be fatal, this one included: several replicas ended under each, and none is stopped. */
    std::size_t suspects = 0;
};

/** What this node knows of requests under which replicas ended, by the requests' content. Any thread may call it; one mutex
    guards it.

    It is bounded: beside the whole, each client account has a bound of its own, so that one account's requests push out no
    other's.
*/
class CrashTable
{
public:
    /** Notes that a replica ended while it ran a request of this node.

        @returns  whether that was not known
    */
    auto recordCrash (const RequestFingerprint& request, std::string_view account, const ReplicaCrash& crash)
        -> bool;

    /** Notes that a connection ended under a request of this node, and that its replica may have.

        @returns  whether that is to be told: a request that succeeds elsewhere is not suspected
    */
    auto recordUnconfirmedCrash (const RequestFingerprint& request,
                                 std::string_view account,
                                 const ReplicaCrash& end,
                                 TimePoint now) -> bool;

    /** Notes that a replica was heard of after its connections ended. */
    auto recordAlive (std::uint64_t replica, TimePoint received) -> void;

    /** Notes that a replica answered a request whole and with success. */
    auto recordSuccess (const RequestFingerprint& request, TimePoint now) -> void;

    /** Notes that a repeat of a request was stopped. */
    auto recordStopped (const RequestFingerprint& request, TimePoint now) -> void;

    /** Takes in what another node told.

        @param shouldForward  whether this node hands on what is new
        @returns         whether there was anything new
    */
    auto merge (const CrashEvidence& received, bool shouldForward, TimePoint now) -> bool;

    /** @returns whether a request may be sent to a replica now. */
    [[nodiscard]] auto assess (const RequestFingerprint& request, TimePoint now) const -> CrashAssessment;

    /** @returns the anchors of requests that may be fatal, in no order: several replicas ended under each. They are to run apart, so
        that one replica's end speaks against one of them.
    */
    [[nodiscard]] auto suspectRankingHashes() const -> std::vector<std::uint64_t>;

    /** @returns ends of connections that may still prove to be crashes, of all requests. */
    [[nodiscard]] auto unconfirmedCrashes (TimePoint now) const -> std::vector<ReplicaCrash>;

    /** @returns what is to be told to other nodes now; each news is told `timesSent` times, since messages get lost. */
    auto takeUnsent (std::size_t most) -> std::vector<CrashEvidence>;

    /** @returns all that is known, the requests that are stopped first. */
    [[nodiscard]] auto all (std::size_t most, TimePoint now) const -> std::vector<CrashEvidence>;

    /** @returns a number that is the same at nodes that stop the same requests; zero where none is stopped. */
    [[nodiscard]] auto digest (TimePoint now) const -> std::uint64_t;

    /** Forgets what is older than `retentionTime`. */
    auto removeExpired (TimePoint now) -> void;

    struct Sizes
    {
        std::size_t known = 0;
        std::size_t stopped = 0;
    };

    [[nodiscard]] auto sizes (TimePoint now) const -> Sizes;

    /** A request is forgotten when it was not seen for so long. One that goes on coming stays stopped. */
    static constexpr auto retentionTime = Duration (10min);

    static constexpr auto maxRequests = std::size_t { 2048 };
    static constexpr auto maxRequestsPerAccount = std::size_t { 256 };
    static constexpr auto timesSent = std::uint32_t { 3 };

private:
    struct Entry
    {
        CrashEvidence evidence;
        std::uint32_t sendsLeft = 0;
        /** When this node last learned something of it. */
        TimePoint lastChange {};
        /** When the crash happened that showed it to be fatal. */
        std::optional<TimePoint> decidedAt;
    };

    auto findOrAddEntry (const RequestFingerprint& request, std::uint32_t account, TimePoint now) -> Entry&;
    auto applySuccess (Entry& entry, TimePoint at) -> void;
    auto recentSuccess (const RequestFingerprint& request, TimePoint now) const -> std::optional<TimePoint>;
    auto storeSuccess (const RequestFingerprint& request, TimePoint now) -> void;
    auto makeRoom (std::uint32_t account) -> void;
    auto decide() const -> void;
    [[nodiscard]] auto assessEntry (const Entry& entry, TimePoint now) const -> CrashAssessment;

    using Successes = std::unordered_map<RequestFingerprint, TimePoint, FingerprintHash>;

    mutable std::mutex mutex;
    mutable std::unordered_map<RequestFingerprint, Entry, FingerprintHash> entries;
    /** Whether the evidence has changed since requests were last decided on. */
    mutable bool areDecisionsStale = false;
    /** From suspectRankingHashes(). */
    mutable std::vector<std::uint64_t> suspects;
    std::map<std::uint32_t, std::size_t> countByAccount;
    /** Requests that lately succeeded, in two generations of `successCovers` each. */
    Successes successes;
    Successes earlierSuccesses;
    TimePoint generationStart {};
};

} // namespace snowrudder
