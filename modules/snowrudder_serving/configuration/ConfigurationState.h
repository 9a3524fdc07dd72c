#pragma once

#include "RoutingConfiguration.h"

namespace snowrudder
{

/** The configuration in force at this node, and since when nothing newer is known to have existed. Belongs to the
    node's event loop.
*/
struct ConfigurationState
{
    std::shared_ptr<const RoutingConfiguration> current;
    /** The latest time at which the store is proved to have held nothing newer: taken before the question was sent. */
    TimePoint provenAt {};
};

/** How long a proof lets keyed requests through. */
struct FreshnessBounds
{
    /** The operators' bound on the use of a revoked key. */
    Duration revocationTime = 5s;
    /** Kept back for timers that fire late and clocks that differ in speed: measured timers fire within 20 ms. */
    Duration margin = 200ms;
};

/** Puts a newer version in force; an older one changes nothing.

    @returns whether it did
*/
inline auto adopt (ConfigurationState& state, std::shared_ptr<const RoutingConfiguration> read) -> bool
{
    if (state.current && read->revision <= state.current->revision)
        return false;

    state.current = std::move (read);
    return true;
}

/** @returns whether a key that this node holds valid cannot have been revoked longer ago than the bound. */
inline auto isFresh (const ConfigurationState& state, const FreshnessBounds& bounds, TimePoint now) -> bool
{
    return state.current && now - state.provenAt <= bounds.revocationTime - bounds.margin;
}

} // namespace snowrudder
