#pragma once

#include "RejectionLimit.h"

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace snowrudder
{

/** The time for which a replica, as it rejected a request, asked this router for no further ones, and how the router returns
    to it. Each router is asked for itself. All may be asked at the same moment, so they return one after the other: each with a
    single request, then with no more than its part of the replica's slots for a while.
*/
struct ReplicaRest
{
    /** How long a router waits for the answer to its first request before others may follow. A replica rejects at once. */
    static constexpr auto trialTime = Duration (300ms);
    /** How long after its first request a router keeps to its part of the slots. */
    static constexpr auto returnTime = Duration (1s);
    /** The time in which as many requests are sent, by all routers, as the replica has slots, and the longest one in which all
        routers return.
    */
    static constexpr auto spreadPerSlots = Duration (100ms);
    static constexpr auto maxSpread = Duration (900ms);

    /** The latest end that it has asked for; `longAgo` if it never asked. */
    TimePoint until = longAgo;
    /** When this router may send to it again. */
    TimePoint returnsAt = longAgo;
    /** When this router sent its first request since, and whether there was an answer to it. */
    std::optional<TimePoint> trialAt;
    bool isTrialAnswered = false;
    /** Requests that this router sent since its return, that one included. */
    std::uint32_t sent = 0;
    FleetPosition own;
};

/** @returns whether the replica has ever asked for rest. */
inline auto hasRested (const ReplicaRest& rest) -> bool
{
    return rest.until != longAgo;
}

/** @returns whether this router may send nothing now. */
inline auto isResting (const ReplicaRest& rest, TimePoint now) -> bool
{
    return now < rest.returnsAt;
}

/** @returns how long after the end of a rest a router returns.

    @param replica  from replicaHash(), so that the order of the routers differs between replicas
*/
inline auto returnDelay (const FleetPosition& router, double slots, std::uint32_t replica) -> Duration
{
    const auto routers = std::max<std::size_t> (router.routers, 1);
    const auto rank = static_cast<double> ((router.position + replica) % routers);
    const auto count = static_cast<double> (routers);
    const auto perSlots = ReplicaRest::spreadPerSlots * (count / std::max (slots, 1.0));
    const auto spread = std::min<std::chrono::duration<double>> (ReplicaRest::maxSpread, perSlots);
    return std::chrono::duration_cast<Duration> (spread * (rank / count));
}

/** Records that the replica asked for rest. A shorter rest doesn't end a longer one, since answers may overtake each other;
    for the same reason an answer to a request that it served doesn't end one.
*/
inline auto recordRest (ReplicaRest& rest,
                        Duration asked,
                        const FleetPosition& router,
                        double slots,
                        std::uint32_t replica,
                        TimePoint now) -> void
{
    if (asked <= Duration::zero())
        return;

    rest.until = std::max (rest.until, now + asked);
    rest.returnsAt = rest.until + returnDelay (router, slots, replica);
    rest.trialAt.reset();
    rest.own = router;
}

/** @returns whether a request of this router may follow those that it has sent since its return.

    @param inFlight  this router's requests on the replica
    @param present   requests of all routers on it, if a recent load shows them
*/
inline auto hasReturnPlace (const ReplicaRest& rest,
                            double slots,
                            std::uint32_t replica,
                            std::uint32_t inFlight,
                            std::optional<double> present,
                            TimePoint now) -> bool
{
    if (! rest.trialAt)
        return true;

    const auto passed = now - *rest.trialAt;

    if (! rest.isTrialAnswered && passed < ReplicaRest::trialTime)
        return false;

    if (passed >= ReplicaRest::returnTime)
        return true;

    if (present && *present >= slots)
        return false;

    const auto part = std::max (1U, equalPart (slots, rest.own, replica));
    return inFlight < part && (rest.sent < part || passed >= ReplicaRest::spreadPerSlots);
}

/** Records that a request is sent.

    @returns whether it is the first one since the rest
*/
inline auto recordReturn (ReplicaRest& rest, TimePoint now) -> bool
{
    if (! hasRested (rest))
        return false;

    if (rest.trialAt)
    {
        ++rest.sent;
        return false;
    }

    rest.trialAt = now;
    rest.isTrialAnswered = false;
    rest.sent = 1;
    return true;
}

/** Records the end of the first request since the rest.

    @param isAnswered  whether the replica answered it; if it didn't, another request is the first one
*/
inline auto recordTrialEnd (ReplicaRest& rest, bool isAnswered) -> void
{
    if (isAnswered)
        rest.isTrialAnswered = true;
    else if (! rest.isTrialAnswered)
        rest.trialAt.reset();
}

} // namespace snowrudder
