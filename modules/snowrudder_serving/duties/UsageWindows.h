#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <string>

namespace snowrudder
{

/** Requests by client account. */
using AccountCounts = std::map<std::string, std::uint64_t, std::less<>>;

/** Requests that began to run, by client account and window of true time. Counts only grow. */
class UsageWindows
{
public:
    explicit UsageWindows (Duration windowLength) : length (windowLength) {}

    /** Counts a request that began to run.

        @param time  since the start of 1970, in true time as well as this node knows it
    */
    auto note (const std::string& account, Duration time) -> void { ++windows[windowOf (time)][account]; }

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
    [[nodiscard]] auto counts() const -> const std::map<std::uint64_t, AccountCounts>& { return windows; }

    /** Forgets windows before one. */
    auto dropBefore (std::uint64_t window) -> void
    {
        windows.erase (windows.begin(), windows.lower_bound (window));
    }

private:
    Duration length;
    std::map<std::uint64_t, AccountCounts> windows;
};

} // namespace snowrudder
