#pragma once

#include "../time/Time.h"

#include <cstdint>

namespace snowrudder
{

/** @returns a uniformly distributed random number, at least 0 and less than 1. */
auto randomFraction() -> double;

/** @returns a random 64-bit number. */
auto randomNumber() -> std::uint64_t;

/** @returns the pause multiplied by a random factor from 0.5 to 1.5, so that nodes don't retry simultaneously. */
inline auto jittered (Duration pause) -> Duration
{
    constexpr auto minFactor = 0.5;
    return std::chrono::duration_cast<Duration> (pause * (minFactor + randomFraction()));
}

} // namespace snowrudder
