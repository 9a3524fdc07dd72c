#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <string>

namespace snowrudder
{

/** Number of requests by client account. */
using AccountCounts = std::map<std::string, std::uint64_t, std::less<>>;

/** Number of requests by window and client account. */
using CountsByWindow = std::map<std::uint64_t, AccountCounts>;

/** Counts requests that began to run, by client account and window of true time. Counts never decrease. */
class UsageWindows
{
public:
    explicit UsageWindows (Duration windowLength) : length (windowLength) {}

    /** Counts a request that began to run.

        @param time  since the start of 1970, in this node's estimate of true time
    */
    auto record (const std::string& account, Duration time) -> void { ++windows[windowOf (time)][account]; }

    /** Records that this node runs, so that it announces the current window even if no request began in it. */
    auto recordRunning (Duration time) -> void { windows.try_emplace (windowOf (time)); }

    /** @returns the number of the window that contains a time. */
    [[nodiscard]] auto windowOf (Duration time) const -> std::uint64_t
    {
        return static_cast<std::uint64_t> (time / length);
    }

    /** @returns when a window ends, since the start of 1970. */
    [[nodiscard]] auto endOf (std::uint64_t window) const -> Duration
    {
        return length * static_cast<std::int64_t> (window + 1);
    }

    /** @returns this node's counts of all windows that it keeps. */
    [[nodiscard]] auto counts() const -> const CountsByWindow& { return windows; }

    /** @returns this node's counts of one window; empty if it counted nothing in it. */
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

    /** Removes the windows before a given one. */
    auto dropBefore (std::uint64_t window) -> void
    {
        windows.erase (windows.begin(), windows.lower_bound (window));
    }

private:
    Duration length;
    CountsByWindow windows;
};

} // namespace snowrudder
