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

/** Counts and records are kept for longer than anybody looks back. */
constexpr auto keepTime = 2 * usageLookBack;

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

/** Writes a window's counts down, or finds those that an earlier holder wrote.

    @returns nothing when the store did not answer
*/
auto settleCounts (ServingState& state, const StateStore& store, std::uint64_t window)
    -> Task<std::optional<AccountCounts>>
{
    const auto counts = state.usageOfOthers.ofAll (window, state.usage.countsOf (window));
    auto record = makeCreateTransaction (usageKey (window), writeCounts (counts));
    const auto keptWindows = static_cast<std::uint64_t> (keepTime / state.settings.usageWindow);

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
    const auto counts = co_await settleCounts (state, store, window);

    if (! counts || ! mayAct (state.leadership, state.leadershipTimes, SteadyClock::now()))
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

/** Looks up which windows earlier holders settled.

    @returns whether the store answered
*/
auto readSettled (UsageSchedule& schedule, const StateStore& store) -> Task<bool>
{
    const auto listed = co_await store.list (std::string (usagePrefix), ReadFreshness::newest);

    if (listed.outcome != StoreOutcome::done)
        co_return false;

    for (const auto& item : listed.items)
    {
        auto window = std::uint64_t { 0 };
        const auto* const end = item.key.data() + item.key.size();

        if (std::from_chars (item.key.data() + usagePrefix.size(), end, window).ptr == end)
            schedule.settledBefore = std::max (schedule.settledBefore.value_or (window), window);
    }

    co_return true;
}

} // namespace

auto reportUsage (ServingState& state, const StateStore& store, const DutyCalls& calls) -> Task<void>
{
    UsageSchedule schedule;
    auto fence = std::uint64_t { 0 };
    schedule.started = state.trueTime.now (SteadyClock::now());
    state.usage.noteRunning (schedule.started);

    for (;;)
    {
        co_await pauseFor (state.loop, tick);

        const auto now = state.trueTime.now (SteadyClock::now());
        state.usage.noteRunning (now);
        const auto oldestKept = state.usage.windowOf (now - keepTime);
        state.usage.dropBefore (oldestKept);
        state.usageOfOthers.dropBefore (oldestKept);
        schedule.reported.erase (schedule.reported.begin(), schedule.reported.lower_bound (oldestKept));

        if (mayAct (state.leadership, state.leadershipTimes, SteadyClock::now()) &&
            state.leadership.fence != fence && co_await readSettled (schedule, store))
            fence = state.leadership.fence;

        for (const auto window : windowsDue (schedule, state.usage, state.usageOfOthers, now))
        {
            if (! mayAct (state.leadership, state.leadershipTimes, SteadyClock::now()))
                break;

            const auto outcome = co_await reportWindow (state, store, calls, window);

            if (outcome == StoreOutcome::done)
                schedule.reported.insert (window);

            // Later windows wait: a successor takes those before the last one settled as reported.
            if (! isConclusive (outcome))
                break;
        }
    }
}

} // namespace snowrudder
