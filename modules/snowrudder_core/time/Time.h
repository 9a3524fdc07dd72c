#pragma once

#include "BootClock.h"

#include <chrono>

namespace snowrudder
{

using namespace std::chrono_literals;

/** A point in time on the boot clock, which all ages, deadlines and leases are measured by: they bound what happens
    outside this VM, where time goes on while it is suspended. Functions that make decisions receive it as `now` and
    don't read a clock.
*/
using TimePoint = BootClock::time_point;

using Duration = BootClock::duration;

/** Stands for "never" where an age is computed from it: older than any limit, also on a VM that has just booted, whose
    boot clock is near zero.
*/
inline constexpr auto longAgo = TimePoint (-std::chrono::hours (24 * 365));

/** Wall time, used only where a time leaves the VM: in identifiers, logs and responses. */
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** @returns the current wall time in whole milliseconds. */
inline auto wallTimeNow() -> WallTime
{
    return std::chrono::time_point_cast<std::chrono::milliseconds> (std::chrono::system_clock::now());
}

/** @returns a duration in milliseconds, with fractions, for logs and reports. */
inline auto inMilliseconds (Duration duration) -> double
{
    return std::chrono::duration<double, std::milli> (duration).count();
}

} // namespace snowrudder
