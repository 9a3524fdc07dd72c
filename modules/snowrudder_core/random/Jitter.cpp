#include "Jitter.h"

#include <random>

namespace snowrudder
{

namespace
{

auto threadGenerator() -> std::mt19937_64&
{
    thread_local std::mt19937_64 generator (std::random_device {}());
    return generator;
}

} // namespace

auto randomFraction() -> double
{
    return std::uniform_real_distribution<double> (0.0, 1.0) (threadGenerator());
}

auto randomNumber() -> std::uint64_t
{
    return threadGenerator()();
}

} // namespace snowrudder
