#include "BootClock.h"

#include <time.h>

namespace snowrudder
{

auto BootClock::now() noexcept -> time_point
{
    timespec reading {};
    ::clock_gettime (CLOCK_BOOTTIME, &reading);
    return time_point (std::chrono::seconds (reading.tv_sec) + std::chrono::nanoseconds (reading.tv_nsec));
}

} // namespace snowrudder
