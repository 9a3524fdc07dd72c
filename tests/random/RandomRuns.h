#pragma once

#include "InjectedBug.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** The first breach of one seed. */
struct FoundViolation
{
    std::uint64_t seed = 0;
    std::string simulation;
    std::string guarantee;
    /** The least number of events with which it still happens. */
    std::size_t events = 0;
    /** What happened until then. */
    std::vector<std::string> trace;
};

/** Counts over many seeds. */
struct RandomCounts
{
    std::uint64_t seeds = 0;
    std::uint64_t calls = 0;
    std::uint64_t successfulCalls = 0;
    std::uint64_t streams = 0;
    std::uint64_t completedStreams = 0;
    std::uint64_t edits = 0;
    std::uint64_t storedEdits = 0;
};

/** Runs one seed in all worlds.

    @returns the breach, shortened as far as it could be, or nothing
*/
auto runSeed (std::uint64_t seed, InjectedBug bug, RandomCounts& counts) -> std::optional<FoundViolation>;

} // namespace snowrudder
