#include "../store/ListPages.h"
#include "../store/StoreTransactions.h"
#include "DutyLoops.h"
#include "UsageSchedule.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace snowrudder
{

namespace
{

namespace json = boost::json;

constexpr auto tick = 500ms;

/** How long counts and their records in the store are kept; longer than any holder looks back. */
constexpr auto retentionTime = 2 * usageReportHorizon;

auto usageKey (std::uint64_t window) -> std::string
{
    return std::string (usagePrefix) + std::to_string (window);
}

auto writeCounts (const AccountCounts& counts) -> std::string
{
    json::object object;

    for (const auto& [account, count] : counts)
        object[account] = count;

    return json::serialize (object);
}

auto readCounts (const std::string& text) -> AccountCounts
{
    AccountCounts counts;
    const auto object = parseObject (text).value_or (json::object());

    for (const auto& member : object)
        counts[std::string (member.key())] = wholeNumberIn (object, member.key());

    return counts;
}

/** Writes the counts of a window to the store, or reads those that an earlier holder wrote.

    @returns nothing if the store did not respond
*/
auto persistCounts (ServingState& state, const StateStore& store, std::uint64_t window)
    -> Task<std::optional<AccountCounts>>
{
    const auto counts = state.usageOfOthers.countsOfAllNodes (window, state.usage.countsOf (window));
    auto record = makeCreateTransaction (usageKey (window), writeCounts (counts));
    const auto keptWindows = static_cast<std::uint64_t> (retentionTime / state.settings.usageWindow);

    if (window > keptWindows)
        record.removals.push_back (usageKey (window - keptWindows));

    const auto result = co_await store.commit (std::move (record));

    if (result.outcome == StoreOutcome::done)
        co_return counts;

    if (result.outcome == StoreOutcome::refused)
        if (const auto* earlier = existingItem (result.items))
            co_return readCounts (earlier->value);

    co_return std::nullopt;
}

auto reportWindow (ServingState& state, const StateStore& store, const DutyCalls& calls, std::uint64_t window)
    -> Task<StoreOutcome>
{
    const auto counts = co_await persistCounts (state, store, window);

    if (! counts || ! mayCallDuty (state.leadership, state.leadershipTimes, BootClock::now()))
        co_return StoreOutcome::unknown;

    const DutyHolder holder { state.settings.node, state.leadership.fence };
    const auto outcome = co_await calls.reportUsage (holder, window, *counts);
    LogLine ("usage_reported")
        .with ("window", window)
        .with ("accounts", counts->size())
        .with ("fence", holder.fence)
        .with ("outcome", toString (outcome))
        .info();
    co_return outcome;
}

/** Reads the last window whose counts an earlier holder wrote to the store.

    @returns whether the store responded
*/
auto readLastPersistedWindow (ServingState& state, UsageSchedule& schedule, const StateStore& store)
    -> Task<bool>
{
    const auto listed =
        co_await listItems (state.loop, store, std::string (usagePrefix), ReadFreshness::newest);

    if (listed.outcome != StoreOutcome::done)
        co_return false;

    for (const auto& item : listed.items)
    {
        auto window = std::uint64_t { 0 };
        const auto* const end = item.key.data() + item.key.size();

        if (std::from_chars (item.key.data() + usagePrefix.size(), end, window).ptr == end)
            schedule.lastPersistedWindow = std::max (schedule.lastPersistedWindow.value_or (window), window);
    }

    co_return true;
}

} // namespace

auto reportUsage (ServingState& state, const StateStore& store, const DutyCalls& calls) -> Task<void>
{
    UsageSchedule schedule;
    auto fence = std::uint64_t { 0 };
    schedule.started = state.trueTime.now (BootClock::now());
    state.usage.recordRunning (schedule.started);

    for (;;)
    {
        co_await pauseFor (state.loop, tick);

        const auto now = state.trueTime.now (BootClock::now());
        state.usage.recordRunning (now);
        const auto oldestKept = state.usage.windowOf (now - retentionTime);
        state.usage.dropBefore (oldestKept);
        state.usageOfOthers.dropBefore (oldestKept);
        schedule.reported.erase (schedule.reported.begin(), schedule.reported.lower_bound (oldestKept));

        if (mayCallDuty (state.leadership, state.leadershipTimes, BootClock::now()) &&
            state.leadership.fence != fence && co_await readLastPersistedWindow (state, schedule, store))
            fence = state.leadership.fence;

        for (const auto window : windowsDue (schedule, state.usage, state.usageOfOthers, now))
        {
            if (! mayCallDuty (state.leadership, state.leadershipTimes, BootClock::now()))
                break;

            const auto outcome = co_await reportWindow (state, store, calls, window);

            if (outcome == StoreOutcome::done)
                schedule.reported.insert (window);

            // Later windows wait, since a successor assumes that all windows before the last persisted one were
            // reported.
            if (! isConclusive (outcome))
                break;
        }
    }
}

} // namespace snowrudder
