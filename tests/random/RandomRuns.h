#pragma once

#include "Breakage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** The first violation that was found with a seed. */
struct FoundViolation
{
    std::uint64_t seed = 0;
    std::string simulation;
    std::string guarantee;
    /** The minimum number of events that reproduces the violation. */
    std::size_t events = 0;
    /** The events up to the violation. */
    std::vector<std::string> trace;
};

/** Totals over all seeds of a run. */
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

/** Runs all simulations with one seed.

    @returns the first violation, with the number of events reduced to the minimum; nothing when there is none
*/
auto runSeed (std::uint64_t seed, InjectedBug bug, RandomCounts& counts) -> std::optional<FoundViolation>;

} // namespace snowrudder
