#pragma once

#include "UsageCollector.h"
#include "UsageWindows.h"

#include <set>
#include <vector>

namespace snowrudder
{

/** How far back a holder of the duties looks for windows that were left unreported: twice the time after which a report is
    late.
*/
inline constexpr auto usageReportHorizon = Duration (20s);

/** What a node knows of the windows that it reports when it holds the duties. Times are since the start of 1970. */
struct UsageSchedule
{
    /** When this node's process started. */
    Duration started {};
    std::set<std::uint64_t> reported;
    /** The latest window whose counts an earlier holder settled. It may have reported that one or not, and none after it. */
    std::optional<std::uint64_t> lastPersistedWindow;
};

/** @returns the windows that a holder of the duties reports now, the oldest first.

    Windows that ended before this node started belong to them too: each node that could have reported one may have been restarted
    since. They begin with the last one that an earlier holder settled or, where none is known to have, with the first in which
    others ran, whether or not they counted anything.

    @param own     counts of this node
    @param others  counts that others told it
*/
auto windowsDue (const UsageSchedule& schedule,
                 const UsageWindows& own,
                 const UsageCollector& others,
                 Duration now) -> std::vector<std::uint64_t>;

} // namespace snowrudder
