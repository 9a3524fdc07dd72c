#include "MemoryWatch.h"

#include "../log/Log.h"

#include <malloc.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <string_view>

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
    constexpr auto field = std::string_view ("VmHWM:");
    // Not getrusage(), whose figure includes the process that started this one.
    std::ifstream status ("/proc/self/status");
    std::string line;

    while (std::getline (status, line))
        if (line.starts_with (field))
            return std::strtoull (line.c_str() + field.size(), nullptr, 10) * kibibyte;

    return 0;
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
