#include "Suspension.h"

#include "../log/Log.h"
#include "Time.h"

namespace snowrudder
{

namespace
{

/** The shortest step between the clocks that counts as a suspension, well above the time that a reading takes. */
constexpr auto minSuspension = 20ms;

/** The longest time that an uninterrupted reading takes. */
constexpr auto maxReadingTime = 2ms;

} // namespace

auto readClocks() -> ClockReading
{
    ClockReading reading;
    reading.before = std::chrono::steady_clock::now();
    reading.boot = BootClock::now();
    reading.after = std::chrono::steady_clock::now();
    return reading;
}

auto takeSuspension (SuspensionWatch& watch, const ClockReading& reading) -> std::chrono::nanoseconds
{
    if (reading.after - reading.before > maxReadingTime)
        return {};

    const auto offset = reading.boot.time_since_epoch() - reading.before.time_since_epoch();
    const auto step = offset - watch.offset.value_or (offset);
    watch.offset = offset;
    return step >= minSuspension ? step : std::chrono::nanoseconds::zero();
}

auto recordSuspension (SuspensionWatch& watch, Metrics& metrics) -> void
{
    const auto time = takeSuspension (watch, readClocks());

    if (time == std::chrono::nanoseconds::zero())
        return;

    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds> (time).count();
    LogLine ("vm_suspended").with ("milliseconds", milliseconds).warning();
    metrics.counter ("snowrudder_suspensions_total").add();
    metrics.counter ("snowrudder_suspended_milliseconds_total")
        .add (static_cast<std::uint64_t> (milliseconds));
}

} // namespace snowrudder
