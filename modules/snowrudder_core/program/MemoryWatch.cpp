#include "MemoryWatch.h"

#include "../log/Log.h"

#include <malloc.h>
#include <sys/resource.h>

namespace snowrudder
{

namespace
{

constexpr auto checkInterval = Duration (1s);
constexpr auto parts = std::size_t { 8 };

/** From this part of the limit on the line is a warning. */
constexpr auto warningEighths = std::size_t { 6 };

} // namespace

auto prepareAllocator() -> void
{
    // Setting the threshold keeps it from growing with the blocks that are freed.
    constexpr auto largeBlockBytes = 128 * 1024;
    ::mallopt (M_MMAP_THRESHOLD, largeBlockBytes);
    ::mallopt (M_TRIM_THRESHOLD, largeBlockBytes * 8);
}

auto returnFreedMemory() -> void
{
    ::malloc_trim (0);
}

auto peakMemoryBytes() -> std::size_t
{
    constexpr auto kibibyte = std::size_t { 1024 };
    struct rusage usage = {};

    if (::getrusage (RUSAGE_SELF, &usage) != 0)
        return 0;

    return static_cast<std::size_t> (usage.ru_maxrss) * kibibyte;
}

auto recordMemoryPeak (MemoryWatch& watch, TimePoint now) -> void
{
    if (watch.limitBytes == 0 || now - watch.lastCheck < checkInterval)
        return;

    watch.lastCheck = now;
    const auto peak = peakMemoryBytes();
    const auto eighths = peak * parts / watch.limitBytes;

    if (eighths <= watch.loggedEighths)
        return;

    watch.loggedEighths = eighths;
    LogLine ("memory_peak")
        .with ("bytes", peak)
        .with ("limit_bytes", watch.limitBytes)
        .write (eighths >= warningEighths ? LogLevel::warning : LogLevel::info);
}

} // namespace snowrudder
