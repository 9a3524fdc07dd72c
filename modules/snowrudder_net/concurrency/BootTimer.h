#pragma once

#include "AsioNames.h"

#include "snowrudder_core/time/Time.h"

#include <algorithm>

namespace snowrudder
{

/** Bounds how long Asio sleeps at a time. Its sleeps are timed by a clock that stands still while the VM is suspended,
    so a longer one would end late by the suspension.
*/
struct BootWaitTraits
{
    /** The longest sleep, and so the time after a resume within which a wait ends that is over. Routers wake more often
        for their periodic work.
    */
    static constexpr auto maxSleep = Duration (200ms);

    // The names that Asio calls.
    // NOLINTBEGIN(readability-identifier-naming)
    static auto to_wait_duration (const Duration& left) -> Duration { return std::min (left, maxSleep); }
    static auto to_wait_duration (const TimePoint& end) -> Duration
    {
        return to_wait_duration (end - BootClock::now());
    }
    // NOLINTEND(readability-identifier-naming)
};

/** A timer whose waits end at a time of the boot clock. */
using BootTimer = asio::basic_waitable_timer<BootClock, BootWaitTraits>;

} // namespace snowrudder
