#pragma once

#include "UsageCollector.h"
#include "UsageWindows.h"

#include <set>
#include <vector>

namespace snowrudder
{

/** How far back a holder of the duties checks for unreported windows: twice the time after which a report is late. */
inline constexpr auto usageReportHorizon = Duration (20s);

/** State of the windows that this node reports while it holds the duties. Times are since the start of 1970. */
struct UsageSchedule
{
    /** When this node's process started. */
    Duration started {};
    std::set<std::uint64_t> reported;
    /** The last window whose counts an earlier holder wrote to the store. That holder may have reported this window or
        not, and has reported none after it.
    */
    std::optional<std::uint64_t> lastPersistedWindow;
};

/** @returns the windows that a holder of the duties reports now, the oldest first.

    They include windows that ended before this node started, since every node that could have reported them may have
    been restarted meanwhile. They begin with the last window that an earlier holder persisted, or if none is known,
    with the first in which other nodes ran, whether or not they counted any request.

    @param own     counts of this node
    @param others  counts received from the other nodes
*/
auto windowsDue (const UsageSchedule& schedule,
                 const UsageWindows& own,
                 const UsageCollector& others,
                 Duration now) -> std::vector<std::uint64_t>;

} // namespace snowrudder
