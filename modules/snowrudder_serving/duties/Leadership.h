#pragma once

#include "../store/StateStore.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snowrudder
{

/** What a node knows of its own hold on the duties that one node does for all. Plain decisions over the steady clock:
    times are taken before a call is sent, so that a late answer never stretches a lease.
*/
struct Leadership
{
    /** Names this node and this start of its process. */
    std::string token;
    std::uint64_t lease = 0;
    /** Until when the lease surely runs. */
    TimePoint leaseEnd {};
    /** The revision at which this node took the duties; rises from holder to holder. 0 while it has none. */
    std::uint64_t fence = 0;
    /** When it last held them. */
    std::optional<TimePoint> lastHeld;
    /** When another node was last known to hold them. */
    std::optional<TimePoint> otherHolderSeen;
};

/** Bounds of holding. */
struct LeadershipTimes
{
    /** Length of the lease: a dead holder is replaced after this. */
    Duration lease = 3s;
    Duration renewal = 700ms;
    /** Longest time that a call of a duty may take. */
    Duration call = 500ms;
    /** Kept back for a clock that differs in speed and timers that fire late. */
    Duration margin = 200ms;
    /** A node that lost the duties leaves them to others for this long, so that holders don't alternate. */
    Duration pause = 4s;
};

/** @returns whether a call of a duty that is sent now will have arrived before the lease can run out. */
inline auto mayCallDuty (const Leadership& own, const LeadershipTimes& times, TimePoint now) -> bool
{
    return own.fence != 0 && now + times.call + times.margin < own.leaseEnd;
}

/** @returns whether a node may try to take the duties. */
inline auto mayCompete (const Leadership& own, const LeadershipTimes& times, TimePoint now) -> bool
{
    return ! own.lastHeld || now - *own.lastHeld >= times.pause;
}

/** Notes an answer to a renewal.

    @param asked  when it was sent
*/
auto recordRenewal (Leadership& own, StoreOutcome outcome, const LeadershipTimes& times, TimePoint asked)
    -> void;

/** Notes that the duties are this node's.

    @param revision  of the item that says so
*/
auto recordAcquisition (Leadership& own, std::uint64_t revision) -> void;

/** Notes that the duties are no longer this node's. */
auto recordLoss (Leadership& own, std::string_view reason, TimePoint now) -> void;

} // namespace snowrudder
