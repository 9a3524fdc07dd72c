#pragma once

#include "../prefix/PrefixIndex.h"
#include "PromptSpeed.h"

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** One upstream replica as the VM list names it. */
struct ReplicaInfo
{
    std::string name;
    std::string vm;
    std::string failureDomain;
    std::string service;
    /** IP-NUMBER:PORT */
    std::string endpoint;
    /** Requests that it works on at once. */
    std::uint32_t slots = 16;
    /** Price of its VM an hour, in any one currency. */
    double price = 1.0;
    /** When it was started, in milliseconds since the start of 1970; 0 where it does not say. A replica that starts again under
        its name knows nothing of before.
    */
    std::uint64_t born = 0;
    /** Of its software; empty where it does not say. */
    std::string version {};
};

/** A replica's own word of its load, some time old. */
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double pendingPromptTokens = 0.0;
    bool leaving = false;
};

/** Why a replica gets nothing new, or that it may. */
enum class ReplicaAvailability
{
    usable,
    leaving,
    /** Its breaker is open after failures. */
    suspended,
    /** It is known to have ended, or another one has its address: its entry is stale. */
    ended
};

/** @returns a short name of a replica for messages between routers. */
inline auto replicaHash (std::string_view name) -> std::uint32_t
{
    return static_cast<std::uint32_t> (hashBytes (name));
}

/** @returns what names one start of a replica in messages between routers. */
inline auto incarnationHash (const ReplicaInfo& replica) -> std::uint64_t
{
    return hashBytes (replica.name, hashBytes (replica.endpoint, replica.born));
}

/** What was announced longer ago has run, also where the replica told nothing of its load since. */
inline constexpr auto announcementLifetime = Duration (3s);

/** What a router knows of one replica. */
struct ReplicaState
{
    ReplicaNumber number = 0;
    ReplicaInfo info;
    /** From replicaHash(). */
    std::uint32_t hash = 0;
    TimePoint firstSeen {};

    /** The first sign that it leaves. It stays: a list that calls it live again is a late list. */
    std::optional<TimePoint> leavingSince;

    /** From incarnationHash(). */
    std::uint64_t incarnation = 0;
    /** When it was last found to have ended. */
    std::optional<TimePoint> endedAt;
    /** Whether a replica that was started later is listed at its address. */
    bool isReplaced = false;
    /** The entry of a replica that ended goes after three heartbeats. One that was taken for ended wrongly is tried again then. */
    static constexpr auto staleEntryLifetime = Duration (3s);
    /** What another router heard counts as later by the way of its message. */
    static constexpr auto forwardingDelay = Duration (50ms);

    /** This router's requests on it now, and the prompt tokens of those that have not begun to answer. */
    std::uint32_t inFlight = 0;
    double ownPendingTokens = 0.0;

    LoadReport report;
    std::optional<TimePoint> reportTime;
    /** This router's requests on it when the report came: what was sent since is not in the report. */
    std::uint32_t inFlightAtReport = 0;
    double ownPendingAtReport = 0.0;
    /** When it will have read the prompts that other routers announced, as far as is known. */
    TimePoint othersPromptsDoneAt {};
    /** Prompt tokens that it reads a millisecond, as taken for `othersPromptsDoneAt`. */
    double promptSpeed = initialPromptSpeed;
    /** When others' prompts were announced that its last word of its load can't hold yet. */
    std::vector<TimePoint> announced;
    /** When this router's last requests were sent to it, the oldest first; the last `keptSendTimes`. */
    std::vector<TimePoint> recentSendTimes;
    static constexpr auto keptSendTimes = std::size_t { 16 };

    /** Breaker. */
    std::uint32_t failuresInRow = 0;
    std::uint32_t timesOpened = 0;
    std::optional<TimePoint> openUntil;
    bool isProbing = false;
};

/** @returns whether a replica may get new work. Asked of each replica for each request. */
inline auto availabilityOf (const ReplicaState& replica, TimePoint now) -> ReplicaAvailability
{
    if (replica.leavingSince)
        return ReplicaAvailability::leaving;

    if (replica.isReplaced || (replica.endedAt && now - *replica.endedAt < ReplicaState::staleEntryLifetime))
        return ReplicaAvailability::ended;

    if (replica.openUntil && (now < *replica.openUntil || replica.isProbing))
        return ReplicaAvailability::suspended;

    return ReplicaAvailability::usable;
}

/** How one attempt on a replica ended, as far as the replica's health is concerned. */
enum class AttemptHealth
{
    good,
    /** The connection was refused or reset before a byte: the replica is gone or going. */
    unreachable,
    /** It answered with a failure, cut off or stalled. */
    failed,
    /** Its own refusal: busy, not ill. */
    refused,
    /** Ended from this side; says nothing. */
    neutral
};

/** Times of the breaker. */
struct BreakerLimits
{
    std::uint32_t failuresToOpen = 3;
    Duration firstPause = 1s;
    Duration longestPause = 30s;
};

/** Moves a replica's breaker after an attempt. */
auto recordAttemptHealth (ReplicaState& replica,
                          AttemptHealth health,
                          const BreakerLimits& limits,
                          TimePoint now) -> void;

/** Routers whose sends are guessed from one's own, at most: among more, one router's tell too little of the others'. */
inline constexpr auto maxCountedRouters = std::size_t { 10 };

/** @returns how many other routers to take as sending as this one does.

    @param routers  that send to the same replicas, this one included
*/
inline auto countedOtherRouters (std::size_t routers) -> double
{
    return static_cast<double> (std::clamp<std::size_t> (routers, 1, maxCountedRouters) - 1);
}

/** @returns requests believed on a replica now, everybody's together: what it reported, and what was sent since.

    @param others  the other routers, from countedOtherRouters(). They choose as this one does, so each is taken to have sent as
                   much since the report as this one did; without that, all send to the replica whose report looked best.
                   What they announced since is known, and counts at least
*/
inline auto estimatedRequests (const ReplicaState& replica, TimePoint now, double others = 0.0) -> double
{
    const auto reported = static_cast<double> (replica.report.running + replica.report.waiting);
    const auto own = static_cast<double> (replica.inFlight);
    const auto change = own - static_cast<double> (replica.inFlightAtReport);
    const auto known = std::max (own, reported + change);
    const auto guessed = others * std::max (0.0, change);

    // Asked of each replica for each request: most have nothing announced.
    if (replica.announced.empty())
        return known + guessed;

    const auto announced = static_cast<double> (std::ranges::count_if (
        replica.announced, [now] (TimePoint time) { return now - time <= announcementLifetime; }));
    return known + std::max (guessed, announced);
}

/** @returns prompt tokens believed to wait for computing on a replica: its own word, what this router sent since, and what
    other routers announced.
*/
inline auto estimatedPendingTokens (const ReplicaState& replica, TimePoint now) -> double
{
    const auto change = replica.ownPendingTokens - replica.ownPendingAtReport;
    const auto own = std::max (replica.ownPendingTokens, replica.report.pendingPromptTokens + change);

    if (replica.othersPromptsDoneAt <= now)
        return own;

    using Milliseconds = std::chrono::duration<double, std::milli>;
    return own + Milliseconds (replica.othersPromptsDoneAt - now).count() * replica.promptSpeed;
}

} // namespace snowrudder
