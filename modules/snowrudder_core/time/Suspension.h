#pragma once

#include "../metrics/Metrics.h"
#include "BootClock.h"

#include <chrono>
#include <optional>

namespace snowrudder
{

/** One reading of the two monotonic clocks. */
struct ClockReading
{
    /** The clock that stands still while the VM is suspended, read before and after the other one. */
    std::chrono::steady_clock::time_point before {};
    BootClock::time_point boot {};
    std::chrono::steady_clock::time_point after {};
};

/** Detects suspensions of the VM by the steps between the two clocks. */
struct SuspensionWatch
{
    /** The boot clock minus the other one at the last reading. */
    std::optional<std::chrono::nanoseconds> offset;
};

auto readClocks() -> ClockReading;

/** @returns for how long the VM was suspended since the last reading; zero if it wasn't. A reading that was itself
    interrupted is ignored: the next one tells.
*/
auto takeSuspension (SuspensionWatch& watch, const ClockReading& reading) -> std::chrono::nanoseconds;

/** Logs and counts a suspension since the last call. Call several times per second. */
auto recordSuspension (SuspensionWatch& watch, Metrics& metrics) -> void;

} // namespace snowrudder
