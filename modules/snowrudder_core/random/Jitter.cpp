#include "Jitter.h"

#include <random>

namespace snowrudder
{

auto drawJitter() -> double
{
    thread_local std::minstd_rand engine (std::random_device {}());
    return std::uniform_real_distribution<double> (0.0, 1.0) (engine);
}

auto drawNumber() -> std::uint64_t
{
    thread_local std::mt19937_64 engine (std::random_device {}());
    return engine();
}

} // namespace snowrudder
