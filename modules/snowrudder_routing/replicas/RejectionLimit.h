#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace snowrudder
{

/** A router's position among all routers, in an order on which all of them agree. */
struct FleetPosition
{
    std::size_t position = 0;
    std::size_t routers = 1;

    auto operator== (const FleetPosition&) const -> bool = default;
};

/** The number of rejections a second that a replica bears from all routers together, and what this router knows of its room.

    The replica's places are divided exactly among the routers, so that the bound holds without any message, and however old
    the loads are that routers know of. For `restTime` after a rejection, a router has no more requests on the replica than
    those that it had beside the rejected one. All places are no more than the slots and the rejections that the replica
    bears in that time, so that it never rejects more as long as it takes one request a slot.
*/
struct RejectionLimit
{
    /** The second that rejections are counted in, and a reserve for the delays of two requests. */
    static constexpr auto restTime = Duration (1250ms);
    /** How long a load may show that more requests are on the replica than all routers together may have there. */
    static constexpr auto loadLifetime = Duration (1s);
    /** After each such time without a rejection, one more place is tried than the last rejection showed. */
    static constexpr auto growthTime = Duration (5s);

    /** As stated, in rejections a second from all routers. */
    double perSecond = 0.0;
    FleetPosition own;
    /** Requests running and waiting on the replica when it last rejected one. */
    std::optional<double> shownRoom;
    TimePoint shownAt {};
    /** When it last rejected a request of this router, and how many others of this router it had then. */
    TimePoint rejectedAt = longAgo;
    std::uint32_t heldAtRejection = 0;
};

/** @returns the number of places beyond the slots that the routers may use before a rejection has shown the room.

    A slot is empty from an answer until the next request arrives, unless a request waits. A quarter of the slots covers pauses
    of a quarter of the time that a request runs.
*/
inline auto placesBeyondSlots (double rejectionsPerSecond, double slots) -> double
{
    constexpr auto usedShare = 0.8;
    constexpr auto shareOfSlots = 0.25;

    if (rejectionsPerSecond < 1.0)
        return 0.0;

    const auto bearable = std::max (1.0, std::floor (rejectionsPerSecond * usedShare));
    return std::min (bearable, std::max (1.0, std::ceil (slots * shareOfSlots)));
}

/** @returns the number of requests that all routers together may have on the replica. */
inline auto placesOfAll (const RejectionLimit& limit, double slots, TimePoint now) -> double
{
    const auto beyond = placesBeyondSlots (limit.perSecond, slots);

    if (! limit.shownRoom)
        return slots + beyond;

    const auto grown = std::floor (std::chrono::duration<double> (now - limit.shownAt) /
                                   std::chrono::duration<double> (RejectionLimit::growthTime));
    return slots + std::clamp (*limit.shownRoom - slots + grown, 0.0, beyond);
}

/** @returns a router's part of some places. The parts of all routers add up to the places.

    @param replica  from replicaHash(), so that the rest of the division goes to other routers at each replica
*/
inline auto equalPart (double places, const FleetPosition& router, std::uint32_t replica) -> std::uint32_t
{
    const auto count = static_cast<std::size_t> (std::max (0.0, places));
    const auto routers = std::max<std::size_t> (router.routers, 1);
    const auto rank = (router.position + replica) % routers;
    return static_cast<std::uint32_t> (count / routers + (rank < count % routers ? 1 : 0));
}

/** @returns the number of requests that this router may have on the replica. */
inline auto ownPlaces (const RejectionLimit& limit, double slots, std::uint32_t replica, TimePoint now)
    -> std::uint32_t
{
    return equalPart (placesOfAll (limit, slots, now), limit.own, replica);
}

/** @returns whether one of this router's places is free.

    @param inFlight  this router's requests on the replica
    @param present   requests of all routers on it, if a recent load shows them. Those sent before the places were divided may
                     be too many
*/
inline auto hasFreePlace (const RejectionLimit& limit,
                          double slots,
                          std::uint32_t replica,
                          std::uint32_t inFlight,
                          std::optional<double> present,
                          TimePoint now) -> bool
{
    if (present && *present > placesOfAll (limit, slots, now))
        return false;

    if (now - limit.rejectedAt < RejectionLimit::restTime && inFlight >= limit.heldAtRejection)
        return false;

    return inFlight < ownPlaces (limit, slots, replica, now);
}

/** Records that the replica rejected a request of this router.

    @param room  requests running and waiting on it, if it stated them
    @param held  this router's other requests on it. Some of them may be about to be rejected too
*/
inline auto recordRejection (RejectionLimit& limit,
                             std::optional<double> room,
                             std::uint32_t held,
                             TimePoint now) -> void
{
    const auto isResting = now - limit.rejectedAt < RejectionLimit::restTime;
    limit.heldAtRejection = isResting ? std::min (limit.heldAtRejection, held) : held;
    limit.rejectedAt = now;

    if (! room)
        return;

    limit.shownRoom = room;
    limit.shownAt = now;
}

} // namespace snowrudder
