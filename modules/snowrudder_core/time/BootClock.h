#pragma once

#include <chrono>

namespace snowrudder
{

/** A monotonic clock that counts the time for which the VM was suspended (CLOCK_BOOTTIME), unlike
    std::chrono::steady_clock. Adjustments of the wall clock don't affect it.
*/
class BootClock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    // The name that the standard requires of a clock.
    static constexpr auto is_steady = true; // NOLINT(readability-identifier-naming)

    static auto now() noexcept -> time_point;
};

} // namespace snowrudder
