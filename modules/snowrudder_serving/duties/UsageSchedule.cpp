#include "UsageSchedule.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** Time after the end of a window, or after its own start, until a reader has the final counts of all nodes: 500 ms
    each for the notices to the readers and those between readers, and 500 ms more to repeat a lost datagram. The rest
    covers network latency and clock differences. Independent of the number of nodes.
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
        const auto knownFrom = std::max (own.endOf (window), schedule.started) + collectionTime;

        if (now < knownFrom || schedule.reported.contains (window))
            continue;

        // Nothing was counted before the first start of all nodes, and counts that no running node has can't be
        // reported.
        const auto isBeforeStart = own.endOf (window) <= schedule.started;
        const auto first = schedule.lastPersistedWindow ? schedule.lastPersistedWindow : oldest;

        if (isBeforeStart && (! first || window < *first))
            continue;

        due.push_back (window);
    }

    return due;
}

} // namespace snowrudder
