#pragma once

#include "../members/PeerTable.h"
#include "../members/ReportTimes.h"
#include "SharedQuota.h"

namespace snowrudder
{

/** Nodes that start together know what the others admit 100 to 400 ms after they know each other (77 nodes). A request that a
    node's small part of the limits does not cover waits so long for that rather than be sent away for longer.
*/
inline constexpr auto maxSettlingWait = 300ms;

/** What a node knows of the others that share its limits. */
struct QuotaSharing
{
    /** When this node began to admit requests. */
    TimePoint startTime {};
    /** Nodes that the store last listed, this one included; nothing before it listed them once. */
    std::optional<std::size_t> members;
    /** Whether another node has told this one what is left of the limits. */
    bool hasAdoptedLevels = false;
};

/** @returns whether a node started so lately that others may not know it yet, nor it them. */
auto isRecentlyStarted (const QuotaSharing& sharing, TimePoint now) -> bool;

/** @returns the part of the limits that a node may use: all while it hears most of the others, whose use it then counts;
    else an even part.
*/
auto quotaShare (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> double;

/** @returns for how long a node that has just started can't know yet what the others admit; zero when another node has
    told it, when nearly all others have been heard, or when their reports must have come. 295 nodes that were all killed and
    waited for the last admitted 64 to 79% of what kept to its limit in their first 2 s, with the others 94 to 98%, where
    requests wait for it (virtual time).
*/
auto remainingSettlingTime (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> Duration;

/** @returns whether a node knows what the others admit. */
auto isSettled (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> bool;

/** @param draw  a random number from 0 to 1 */
auto quotaBounds (const QuotaSharing& sharing,
                  const PeerTable& peers,
                  const QuotaTolerance& tolerance,
                  double draw,
                  TimePoint now) -> QuotaBounds;

/** @returns tokens a second that the other nodes are asked for; those not heard are taken to be asked for as much as the
    others are.
*/
auto demandOfOthers (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> AccountAmounts;

} // namespace snowrudder
