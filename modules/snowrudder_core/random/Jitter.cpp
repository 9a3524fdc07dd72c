#include "Jitter.h"

#include <random>

namespace snowrudder
{

auto drawJitter() -> double
{
    thread_local std::minstd_rand engine (std::random_device {}());
    return std::uniform_real_distribution<double> (0.0, 1.0) (engine);
}

} // namespace snowrudder
