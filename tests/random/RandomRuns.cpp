#include "RandomRuns.h"

#include "KeyedCallSimulation.h"
#include "SettingsEditSimulation.h"
#include "StreamSimulation.h"

#include <limits>

namespace snowrudder
{

namespace
{

constexpr auto unlimitedEvents = std::numeric_limits<std::size_t>::max();

/** Runs a simulation for a limited number of events.

    @returns the guarantee that was broken; empty when there is none
*/
template <typename Simulation>
auto runLimited (std::uint64_t seed, InjectedBug bug, std::size_t events, std::vector<std::string>& trace)
    -> std::string
{
    Simulation simulation (seed, bug, events);

    try
    {
        simulation.run();
    }
    catch (const Violation& violation)
    {
        trace = simulation.trace();
        return violation.what();
    }

    return {};
}

/** Finds the minimum number of events that reproduces the violation, by bisection. */
template <typename Simulation>
auto minimizeEvents (FoundViolation violation, InjectedBug bug) -> FoundViolation
{
    auto passing = std::size_t { 0 };
    auto failing = std::size_t { 1 } << 20;

    while (passing + 1 < failing)
    {
        const auto middle = passing + (failing - passing) / 2;
        std::vector<std::string> trace;
        const auto guarantee = runLimited<Simulation> (violation.seed, bug, middle, trace);

        if (guarantee.empty())
        {
            passing = middle;
            continue;
        }

        failing = middle;
        violation.guarantee = guarantee;
        violation.trace = std::move (trace);
    }

    violation.events = failing;
    return violation;
}

template <typename Simulation>
auto runSimulation (std::uint64_t seed, InjectedBug bug, const char* name, Simulation& simulation)
    -> std::optional<FoundViolation>
{
    try
    {
        simulation.run();
        return {};
    }
    catch (const Violation& violation)
    {
        return minimizeEvents<Simulation> ({ seed, name, violation.what(), 0, simulation.trace() }, bug);
    }
}

} // namespace

auto runSeed (std::uint64_t seed, InjectedBug bug, RandomCounts& counts) -> std::optional<FoundViolation>
{
    ++counts.seeds;
    KeyedCallSimulation keyed (seed, bug, unlimitedEvents);

    if (auto violation = runSimulation (seed, bug, "keyed calls", keyed))
        return violation;

    counts.calls += keyed.callCount();
    counts.successfulCalls += keyed.successfulCount();
    StreamSimulation streams (seed, bug, unlimitedEvents);

    if (auto violation = runSimulation (seed, bug, "streams", streams))
        return violation;

    counts.streams += streams.requestCount();
    counts.completedStreams += streams.completedCount();
    SettingsEditSimulation settings (seed, bug, unlimitedEvents);

    if (auto violation = runSimulation (seed, bug, "edits of the settings", settings))
        return violation;

    counts.edits += settings.editCount();
    counts.storedEdits += settings.storedCount();
    return {};
}

} // namespace snowrudder
