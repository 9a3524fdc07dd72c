#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <string>

namespace snowrudder
{

/** Requests by client account. */
using AccountCounts = std::map<std::string, std::uint64_t, std::less<>>;

/** Requests by client account, by window. */
using CountsByWindow = std::map<std::uint64_t, AccountCounts>;

/** Requests that began to run, by client account and window of true time. Counts only grow. */
class UsageWindows
{
public:
    explicit UsageWindows (Duration windowLength) : length (windowLength) {}

    /** Counts a request that began to run.

        @param time  since the start of 1970, in true time as well as this node knows it
    */
    auto record (const std::string& account, Duration time) -> void { ++windows[windowOf (time)][account]; }

    /** Notes that this node runs: it tells of a window also where nothing began to run in it. */
    auto recordRunning (Duration time) -> void { windows.try_emplace (windowOf (time)); }

    /** @returns the number of the window in which a time falls. */
    [[nodiscard]] auto windowOf (Duration time) const -> std::uint64_t
    {
        return static_cast<std::uint64_t> (time / length);
    }

    /** @returns when a window ends, since the start of 1970. */
    [[nodiscard]] auto endOf (std::uint64_t window) const -> Duration
    {
        return length * static_cast<std::int64_t> (window + 1);
    }

    /** @returns this node's counts of each window that it still keeps. */
    [[nodiscard]] auto counts() const -> const CountsByWindow& { return windows; }

    /** @returns this node's counts of one window; none where it counted nothing in it. */
    [[nodiscard]] auto countsOf (std::uint64_t window) const -> AccountCounts
    {
        const auto found = windows.find (window);
        return found == windows.end() ? AccountCounts() : found->second;
    }

    /** @returns this node's counts of the windows that end after a time, since the start of 1970. */
    [[nodiscard]] auto endedAfter (Duration time) const -> CountsByWindow
    {
        CountsByWindow recent;

        for (const auto& [window, counts] : windows)
            if (endOf (window) > time)
                recent.emplace (window, counts);

        return recent;
    }

    /** Forgets windows before one. */
    auto dropBefore (std::uint64_t window) -> void
    {
        windows.erase (windows.begin(), windows.lower_bound (window));
    }

private:
    Duration length;
    CountsByWindow windows;
};

} // namespace snowrudder
