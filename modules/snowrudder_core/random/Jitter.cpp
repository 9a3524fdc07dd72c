#include "Jitter.h"

#include <random>

namespace snowrudder
{

namespace
{

auto engine() -> std::mt19937_64&
{
    thread_local std::mt19937_64 ofThread (std::random_device {}());
    return ofThread;
}

} // namespace

auto drawJitter() -> double
{
    return std::uniform_real_distribution<double> (0.0, 1.0) (engine());
}

auto drawNumber() -> std::uint64_t
{
    return engine()();
}

} // namespace snowrudder
