#include "Invariant.h"

#include "../log/Log.h"

#include <atomic>
#include <cstdlib>

namespace snowrudder
{

namespace
{

auto abortProcess (std::string_view name) -> void
{
    LogLine ("process_invariant_broken").with ("invariant", name).error();
    std::abort();
}

std::atomic<InvariantHandler> currentHandler { &abortProcess };

} // namespace

auto requireInvariant (bool holds, std::string_view name) -> void
{
    if (! holds)
        currentHandler.load() (name);
}

auto setInvariantHandler (InvariantHandler handler) -> InvariantHandler
{
    return currentHandler.exchange (handler);
}

} // namespace snowrudder
