#pragma once

#include "UsageGathering.h"
#include "UsageWindows.h"

#include <set>
#include <vector>

namespace snowrudder
{

/** How far back a holder of the duties looks for windows that were left unreported: twice the time after which a report is
    late.
*/
inline constexpr auto usageLookBack = Duration (20s);

/** What a node knows of the windows that it reports when it holds the duties. Times are since the start of 1970. */
struct UsageSchedule
{
    /** When this node's process started. */
    Duration started {};
    std::set<std::uint64_t> reported;
};

/** @returns the windows that a holder of the duties reports now, the oldest first.

    Windows that ended before this node started belong to them from the first on in which others are known to have counted
    something: each node that could have reported one may have been restarted since. With two nodes restarted in turn one or two windows of
    a second were never reported.

    @param own     counts of this node
    @param others  counts that others told it
*/
auto windowsDue (const UsageSchedule& schedule,
                 const UsageWindows& own,
                 const UsageGathering& others,
                 Duration now) -> std::vector<std::uint64_t>;

} // namespace snowrudder
