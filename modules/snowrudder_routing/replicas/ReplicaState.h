#pragma once

#include "../prefix/PrefixIndex.h"
#include "PromptSpeed.h"
#include "RateLimit.h"
#include "RejectionLimit.h"
#include "ReplicaRest.h"

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** An upstream replica as listed by the platform. */
struct ReplicaInfo
{
    std::string name;
    std::string vm;
    std::string failureDomain;
    std::string service;
    /** IP-NUMBER:PORT */
    std::string endpoint;
    /** Number of requests that it processes concurrently. */
    std::uint32_t slots = 16;
    /** Price of its VM per hour, in any currency that is the same for all replicas. */
    double price = 1.0;
    /** Start time in milliseconds since 1970; 0 where the replica does not state it. A replica that restarts under its
        name has lost all earlier state.
    */
    std::uint64_t born = 0;
    /** Version of its software; empty where the replica does not state it. */
    std::string version {};

    auto operator== (const ReplicaInfo&) const -> bool = default;
};

/** The load that a replica reported, some time ago. */
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double pendingPromptTokens = 0.0;
    bool leaving = false;
    /** Number of requests that it processes concurrently, where it states it. */
    std::optional<std::uint32_t> slots {};
};

/** Whether a replica may get new requests, and if not, why. */
enum class ReplicaAvailability
{
    usable,
    leaving,
    /** Its circuit breaker is open after failures. */
    suspended,
    /** It states how many requests a second it takes, and this router may send none at the moment. */
    limited,
    /** It asked this router for no requests for some time. */
    resting,
    /** All places are taken that this router may use: it states how many rejections a second it bears, or has just rested. */
    full,
    /** It is known to have ended, or a later replica has its address; its entry is stale. */
    ended
};

/** @returns a short hash that identifies a replica in messages between routers. */
inline auto replicaHash (std::string_view name) -> std::uint32_t
{
    return static_cast<std::uint32_t> (hashBytes (name));
}

/** @returns a hash that identifies one incarnation of a replica, from start to end, in messages between routers. */
inline auto incarnationHash (const ReplicaInfo& replica) -> std::uint64_t
{
    return hashBytes (replica.name, hashBytes (replica.endpoint, replica.born));
}

/** Requests announced longer ago than this are taken as finished, even without a load report since. */
inline constexpr auto announcementLifetime = Duration (3s);

/** What an incarnation of a replica has stated of itself in its answers, and that must hold on if its entry lapses and is
    written again.
*/
struct ReplicaStatements
{
    /** The limit that it stated last; nothing while it states none. */
    std::optional<RateLimit> rateLimit;
    /** When it last stated that it has a limit, or none. */
    TimePoint rateLimitStatedAt = longAgo;

    /** The rejections a second that it stated last that it bears; nothing while it states none. */
    std::optional<RejectionLimit> rejectionLimit;
    TimePoint rejectionLimitStatedAt = longAgo;

    ReplicaRest rest;
};

/** @returns whether the statements say anything against sending requests. */
inline auto restrictsRequests (const ReplicaStatements& stated) -> bool
{
    return stated.rateLimit || stated.rejectionLimit || hasRested (stated.rest);
}

/** The state that a router keeps of one replica. */
struct ReplicaState
{
    /** @returns the number of requests that it processes concurrently: as it stated last itself, or as listed. */
    [[nodiscard]] auto slots() const -> double
    {
        return static_cast<double> (statedSlots.value_or (info.slots));
    }

    ReplicaNumber number = 0;
    ReplicaInfo info;
    /** From replicaHash(). */
    std::uint32_t hash = 0;
    TimePoint firstSeen {};

    /** When it was first known to be leaving. It is never reset: a list that shows the replica as live again is
        outdated.
    */
    std::optional<TimePoint> leavingSince;

    /** From incarnationHash(). */
    std::uint64_t incarnation = 0;
    /** When it was last detected to have ended. */
    std::optional<TimePoint> endedAt;
    /** Whether a replica that was started later is listed at its address. */
    bool isReplaced = false;
    /** The entry of a replica that ended expires after three heartbeats. A replica that was detected as ended by
        mistake is used again after that time.
    */
    static constexpr auto staleEntryLifetime = Duration (3s);
    /** Upper bound on the delay of a load report that another router forwarded, by which its time may be late. */
    static constexpr auto forwardingDelay = Duration (50ms);

    /** This router's requests in flight on it, and the prompt tokens of those whose answers have not begun. */
    std::uint32_t inFlight = 0;
    double ownPendingTokens = 0.0;

    LoadReport report;
    std::optional<TimePoint> reportTime;
    /** LoadReport::slots of the last report that stated it. */
    std::optional<std::uint32_t> statedSlots;
    /** This router's requests in flight when the report was made. Requests sent since are not in the report. */
    std::uint32_t inFlightAtReport = 0;
    double ownPendingAtReport = 0.0;
    /** When it is expected to have computed the prompts that other routers announced. */
    TimePoint othersPromptsDoneAt {};
    /** Prompt tokens per millisecond that `othersPromptsDoneAt` is computed with. */
    double promptSpeed = initialPromptSpeed;
    /** When other routers announced the prompts that its last load report does not include yet. */
    std::vector<TimePoint> announcementTimes;
    /** When this router's last `keptSendTimes` requests were sent to it, the oldest first. */
    std::vector<TimePoint> recentSendTimes;
    static constexpr auto keptSendTimes = std::size_t { 16 };

    ReplicaStatements stated;

    /** Whether it is replaced, states a limit or has rested: one check for all, since it is made for each replica and request. */
    bool isRestricted = false;

    /** State of the circuit breaker. */
    std::uint32_t failuresInRow = 0;
    std::uint32_t timesOpened = 0;
    std::optional<TimePoint> openUntil;
    bool isProbing = false;
};

/** @returns whether a replica may get new requests, of which only its limits and a later replica at its address can speak
    against it.
*/
auto restrictedAvailability (const ReplicaState& replica, TimePoint now) -> ReplicaAvailability;

/** @returns whether a replica may get new requests. Called for each replica and request. */
inline auto availabilityOf (const ReplicaState& replica, TimePoint now) -> ReplicaAvailability
{
    if (replica.leavingSince)
        return ReplicaAvailability::leaving;

    if (replica.endedAt && now - *replica.endedAt < ReplicaState::staleEntryLifetime)
        return ReplicaAvailability::ended;

    if (replica.openUntil && (now < *replica.openUntil || replica.isProbing))
        return ReplicaAvailability::suspended;

    return replica.isRestricted ? restrictedAvailability (replica, now) : ReplicaAvailability::usable;
}

/** What the outcome of one attempt shows of the replica's health. */
enum class AttemptHealth
{
    good,
    /** The connection was refused, or reset before the first byte: the replica has ended or is ending. */
    unreachable,
    /** It answered with a failure, closed the connection during the answer, or stalled. */
    failed,
    /** It rejected the request because it is busy, not because it is unhealthy. */
    refused,
    /** The attempt was ended by this router, which gives no evidence. */
    neutral
};

/** Parameters of the circuit breaker. */
struct BreakerLimits
{
    std::uint32_t failuresToOpen = 3;
    Duration firstPause = 1s;
    Duration longestPause = 30s;
};

/** Updates a replica's circuit breaker after an attempt. */
auto recordAttemptHealth (ReplicaState& replica,
                          AttemptHealth health,
                          const BreakerLimits& limits,
                          TimePoint now) -> void;

/** Maximum number of routers whose requests are extrapolated from this router's own. With more routers, those of one
    say too little about those of the others.
*/
inline constexpr auto maxCountedRouters = std::size_t { 10 };

/** @returns the number of other routers that are assumed to send as many requests as this one.

    @param routers  number of routers that send to the same replicas, this one included
*/
inline auto countedOtherRouters (std::size_t routers) -> double
{
    return static_cast<double> (std::clamp<std::size_t> (routers, 1, maxCountedRouters) - 1);
}

/** @returns the estimated number of requests of all routers on a replica: those it reported, and those sent since.

    @param others  from countedOtherRouters(). Other routers choose by the same rules, so each is assumed to have sent
                   as many requests since the report as this one; otherwise all routers would send to the replica with
                   the lowest reported load. The number of prompts that they announced since is a lower bound of this
                   part
*/
inline auto estimatedRequests (const ReplicaState& replica, TimePoint now, double others = 0.0) -> double
{
    const auto reported = static_cast<double> (replica.report.running + replica.report.waiting);
    const auto own = static_cast<double> (replica.inFlight);
    const auto change = own - static_cast<double> (replica.inFlightAtReport);
    const auto known = std::max (own, reported + change);
    const auto extrapolated = others * std::max (0.0, change);

    // A fast path, as this is called for each replica and request, and most replicas have no announcements.
    if (replica.announcementTimes.empty())
        return known + extrapolated;

    const auto announced = static_cast<double> (std::ranges::count_if (
        replica.announcementTimes, [now] (TimePoint time) { return now - time <= announcementLifetime; }));
    return known + std::max (extrapolated, announced);
}

/** @returns the estimated number of prompt tokens queued for computing on a replica: those it reported, those that this
    router sent since, and those that other routers announced.
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
