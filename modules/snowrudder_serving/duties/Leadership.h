#pragma once

#include "../store/StateStore.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snowrudder
{

/** State of this node's leadership: its hold on the duties that one node performs for all. All times are taken
    before a call is sent, so that a late response never extends a lease.
*/
struct Leadership
{
    /** Identifies this node and this start of its process. */
    std::string token;
    std::uint64_t lease = 0;
    /** Time until which the lease is certain to be valid. */
    TimePoint leaseEnd {};
    /** Fencing token: the revision at which this node acquired the duties, rising from holder to holder. 0 while it
        holds none.
    */
    std::uint64_t fence = 0;
    /** When this node last held the duties. */
    std::optional<TimePoint> lastHeld;
    /** When another node was last known to hold the duties. */
    std::optional<TimePoint> otherHolderSeen;
};

/** Time limits of leadership. */
struct LeadershipTimes
{
    /** Length of the lease, after which a dead holder is replaced. */
    Duration lease = 3s;
    Duration renewal = 700ms;
    /** Timeout of a duty call. */
    Duration call = 500ms;
    /** Margin for clock drift and for timers that fire late. */
    Duration margin = 200ms;
    /** How long a node that lost the duties leaves them to others, so that holders don't alternate. */
    Duration pause = 4s;
};

/** @returns whether a duty call that is sent now arrives before the lease can expire. */
inline auto mayCallDuty (const Leadership& own, const LeadershipTimes& times, TimePoint now) -> bool
{
    return own.fence != 0 && now + times.call + times.margin < own.leaseEnd;
}

/** @returns whether a node may try to acquire the duties. */
inline auto mayCompete (const Leadership& own, const LeadershipTimes& times, TimePoint now) -> bool
{
    return ! own.lastHeld || now - *own.lastHeld >= times.pause;
}

/** Records the response to a lease renewal.

    @param sentAt  when the renewal was sent
*/
auto recordRenewal (Leadership& own, StoreOutcome outcome, const LeadershipTimes& times, TimePoint sentAt)
    -> void;

/** Records that this node holds the duties.

    @param revision  of the item that shows it
*/
auto recordAcquisition (Leadership& own, std::uint64_t revision) -> void;

/** Records that this node no longer holds the duties. */
auto recordLoss (Leadership& own, std::string_view reason, TimePoint now) -> void;

} // namespace snowrudder
