#pragma once

#include "../time/Time.h"

#include <cstddef>
#include <cstdint>

namespace snowrudder
{

/** What a process last logged of the memory that it has used. */
struct MemoryWatch
{
    /** The memory at which the machine ends the process, in bytes; 0 if it is not known. */
    std::size_t limitBytes = 0;
    /** Eighths of the limit that the peak had reached. */
    std::size_t loggedEighths = 0;
    TimePoint lastCheck = longAgo;
};

/** Makes the allocator return large blocks to the system as soon as they are freed. Call it first in main(). */
auto prepareAllocator() -> void;

/** Returns to the system what was freed and the allocator keeps. Takes some milliseconds after much has been freed. */
auto returnFreedMemory() -> void;

/** @returns the most memory that this process has had resident at a time, in bytes. */
auto peakMemoryBytes() -> std::size_t;

/** Logs the peak of this process's memory each time it has reached another eighth of the limit, so that the log of a process
    that is ended for its memory shows why. Reads the peak once a second; call it more often.
*/
auto recordMemoryPeak (MemoryWatch& watch, TimePoint now) -> void;

} // namespace snowrudder
