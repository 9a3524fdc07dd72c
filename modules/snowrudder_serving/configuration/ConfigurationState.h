#pragma once

#include "HandedConfiguration.h"
#include "RoutingConfiguration.h"

#include <utility>

namespace snowrudder
{

/** The configuration in force at this node, and the time of the last proof that it is the newest. Only used on the
    node's event loop.
*/
struct ConfigurationState
{
    std::shared_ptr<const RoutingConfiguration> current;
    /** The latest time at which the store is proved to have held nothing newer. It is taken before the query is sent.
    */
    TimePoint provenAt = longAgo;
    /** The node that forwarded this proof; empty if the store itself gave it. */
    std::string provenBy;
    /** Revision of the newest configuration that was refused; 0 if none was, or a newer one has come into force. */
    std::uint64_t refusedRevision = 0;
    /** The current configuration and the one before, as they are handed on to other nodes. Both, so that a node that
        receives one of many that follow each other quickly needn't begin again with each.
    */
    HandedConfiguration handed;
    HandedConfiguration handedBefore;
};

/** How long requests with an API key are accepted after a proof of freshness. */
struct FreshnessBounds
{
    /** The operators' limit on how long a revoked key may remain in use. */
    Duration revocationTime = 5s;
    /** Safety margin for late timers and for clocks of different speed. Measured timers fire within 20 ms. */
    Duration margin = 200ms;
};

/** Records a proof that the current configuration was the newest at a time, if it is later than the proof so far.

    @param by  the node that forwarded the proof; empty for the store itself
*/
inline auto recordProof (ConfigurationState& state, TimePoint at, std::string_view by) -> void
{
    if (at <= state.provenAt)
        return;

    state.provenAt = at;
    state.provenBy = by;
}

/** @returns the age of the proof in milliseconds, for logs; -1 if there was none. */
inline auto proofMilliseconds (const ConfigurationState& state, TimePoint now) -> double
{
    return state.provenAt == longAgo ? -1.0 : inMilliseconds (now - state.provenAt);
}

/** Puts a configuration in force if it is newer than the current one.

    @returns whether it was newer
*/
inline auto adopt (ConfigurationState& state, std::shared_ptr<const RoutingConfiguration> loaded) -> bool
{
    if (state.current && loaded->revision <= state.current->revision)
        return false;

    if (loaded->revision > state.refusedRevision)
        state.refusedRevision = 0;

    state.current = std::move (loaded);
    return true;
}

/** Keeps the configuration that has just come into force for other nodes. */
inline auto keepForOthers (ConfigurationState& state, HandedConfiguration handed) -> void
{
    state.handedBefore = std::exchange (state.handed, std::move (handed));
}

/** @returns whether keys that are valid here can't have been revoked longer ago than the limit on revocation. */
inline auto isFresh (const ConfigurationState& state, const FreshnessBounds& bounds, TimePoint now) -> bool
{
    return state.current && now - state.provenAt <= bounds.revocationTime - bounds.margin;
}

} // namespace snowrudder
