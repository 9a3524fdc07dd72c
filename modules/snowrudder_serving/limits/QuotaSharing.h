#pragma once

#include "../members/PeerTable.h"
#include "../members/ReportTimes.h"
#include "SharedQuota.h"

namespace snowrudder
{

/** How long a request waits that the small share of a starting node does not cover, instead of being refused with a
    longer retry delay. Nodes that start together know each other's admissions 100 to 400 ms after listing each other
    (77 nodes).
*/
inline constexpr auto maxSettlingWait = 300ms;

/** State of sharing the account limits with the other nodes. */
struct QuotaSharing
{
    /** When this node began to admit requests. */
    TimePoint startTime {};
    /** Number of nodes in the last list from the store, this one included; empty before the first list. */
    std::optional<std::size_t> members;
    /** Whether this node has adopted the bucket levels of another node. */
    bool hasAdoptedLevels = false;
    /** The slices of accounts whose levels it has adopted. */
    std::uint64_t adoptedSlices = 0;
};

/** @returns whether this node must still adopt the levels in a report: it isn't settled, or adopted levels of other
    accounts only.
*/
auto lacksLevels (const QuotaSharing& sharing, const AccountPart& part, bool isSettledNow) -> bool;

/** @returns whether this node started so recently that it and the other nodes may not have listed each other yet. */
auto isRecentlyStarted (const QuotaSharing& sharing, TimePoint now) -> bool;

/** @returns the fraction of the limits that this node may use: 1 while it receives reports from at least half of the
    other nodes, whose admissions it then counts; otherwise an equal share.
*/
auto quotaShare (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> double;

/** @returns how long this node, recently started, may still lack the admissions of the others. Zero once it has adopted
    levels from another node, has received reports from nearly all others, or their reports are due. Requests wait for
    nearly all others, not for the last one: of requests within the limit, 295 nodes restarted together admitted 64 to
    79% in the first 2 s when waiting for the last node, and 94 to 98% this way (simulated time).
*/
auto remainingSettlingTime (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> Duration;

/** @returns whether this node is settled: it has received what the other nodes admit. */
auto isSettled (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> bool;

/** @param draw  random number from 0 to 1 */
auto quotaBounds (const QuotaSharing& sharing,
                  const PeerTable& peers,
                  const QuotaTolerance& tolerance,
                  double draw,
                  TimePoint now) -> QuotaBounds;

/** @returns the demand on the other nodes, in tokens per second by account. Nodes without recent reports are assumed to
    have the average demand of the reporting ones.
*/
auto demandOfOthers (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> AccountAmounts;

} // namespace snowrudder
