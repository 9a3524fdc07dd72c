#pragma once

#include "../time/Time.h"

#include <cstdint>

namespace snowrudder
{

/** @returns a random number from 0 to 1. */
auto randomFraction() -> double;

/** @returns a random number of 64 bits. */
auto randomNumber() -> std::uint64_t;

/** @returns a pause of half to one and a half times the given one, so that nodes don't come back all at once. */
inline auto jittered (Duration pause) -> Duration
{
    constexpr auto minFactor = 0.5;
    return std::chrono::duration_cast<Duration> (pause * (minFactor + randomFraction()));
}

} // namespace snowrudder
