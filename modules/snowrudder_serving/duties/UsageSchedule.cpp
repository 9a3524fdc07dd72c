#include "UsageSchedule.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** How long after a window's end, or after its own start, a reader has all nodes' last counts of it: told to the readers and by
    them to each other within 500 ms each, once more where a datagram was lost; the rest is for the ways, and for clocks that
    differ. It does not depend on the number of nodes.
*/
constexpr auto collectionTime = 3 * Duration (usageInterval) + Duration (500ms);

} // namespace

auto windowsDue (const UsageSchedule& schedule,
                 const UsageWindows& own,
                 const UsageCollector& others,
                 Duration now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> due;
    const auto oldest = others.oldestWindow();

    for (auto window = own.windowOf (now - usageReportHorizon); window < own.windowOf (now); ++window)
    {
        const auto known = std::max (own.endOf (window), schedule.started) + collectionTime;

        if (now < known || schedule.reported.contains (window))
            continue;

        // Before the first start of all nodes nothing was counted, and what nobody is left to know can't be reported.
        const auto isBeforeStart = own.endOf (window) <= schedule.started;
        const auto first = schedule.lastPersistedWindow ? schedule.lastPersistedWindow : oldest;

        if (isBeforeStart && (! first || window < *first))
            continue;

        due.push_back (window);
    }

    return due;
}

} // namespace snowrudder
