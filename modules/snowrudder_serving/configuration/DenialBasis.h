#pragma once

#include "ConfigurationState.h"

namespace snowrudder
{

/** Whether a node knows enough to tell a caller that a route isn't there or that a key is unknown. */
enum class DenialBasis
{
    /** No configuration that must be in force can allow the request. */
    current,
    /** Another node has announced a newer configuration, which is being read. */
    newerAnnounced,
    /** A newer configuration may have been acknowledged so long ago that it must be in force. */
    outOfDate
};

/** How old the proof of a configuration may be when a request is denied by it. */
struct DenialBounds
{
    /** The operators' limit on the time from a configuration's acknowledgement until it is in force. */
    Duration applyTime = 2s;
    /** Safety margin for clocks of different speed and for a loop that is busy between the decision and the response. */
    Duration margin = 200ms;
};

/** @returns whether a request that the current configuration doesn't allow may be denied. A configuration that was
    acknowledged before the request was sent, by more than the limit, is older than a proof that is younger than the limit.

    @param announcedRevision  the newest configuration revision that other nodes have announced; 0 if none has
*/
inline auto denialBasis (const ConfigurationState& state,
                         std::uint64_t announcedRevision,
                         const DenialBounds& bounds,
                         TimePoint now) -> DenialBasis
{
    if (! state.current || now - state.provenAt > bounds.applyTime - bounds.margin)
        return DenialBasis::outOfDate;

    return announcedRevision > state.current->revision ? DenialBasis::newerAnnounced : DenialBasis::current;
}

} // namespace snowrudder
