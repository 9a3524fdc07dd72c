#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstddef>
#include <cstdint>

namespace snowrudder
{

/** Bounds the log lines on input from anyone, so that they don't crowd out the others. */
struct LogBudget
{
    static constexpr auto maxLinesPerSecond = std::size_t { 20 };

    /** @returns whether a line may be written now; otherwise it is counted in `leftOut`. */
    auto take (TimePoint now) -> bool
    {
        if (now - windowStart >= 1s)
        {
            windowStart = now;
            lines = 0;
        }

        if (++lines <= maxLinesPerSecond)
            return true;

        ++leftOut;
        return false;
    }

    TimePoint windowStart = longAgo;
    std::size_t lines = 0;
    /** Lines that were not written since the last one that was. */
    std::uint64_t leftOut = 0;
};

} // namespace snowrudder
