#include "RandomRuns.h"
#include "VirtualTime.h"

#include <catch2/catch.hpp>

using namespace snowrudder;

namespace
{

constexpr auto fixedSeedCount = std::uint64_t { 60 };
constexpr auto maxSeedsPerBug = std::uint64_t { 60 };

auto describe (const FoundViolation& violation) -> std::string
{
    auto text = "seed " + std::to_string (violation.seed) + " breaks \"" + violation.guarantee + "\" among " +
                violation.simulation + " within " + std::to_string (violation.events) + " events:\n";

    for (const auto& line : violation.trace)
        text += "  " + line + "\n";

    return text;
}

} // namespace

TEST_CASE ("no fixed seed violates a guarantee")
{
    throwOnViolation();
    RandomCounts counts;

    for (auto seed = std::uint64_t { 1 }; seed <= fixedSeedCount; ++seed)
        if (const auto violation = runSeed (seed, InjectedBug::none, counts))
            FAIL (describe (*violation));

    // These minimums ensure that the seeds cover enough calls, edits and streams for the test to be meaningful.
    CHECK (counts.calls > 60 * fixedSeedCount);
    CHECK (counts.successfulCalls * 2 > counts.calls);
    CHECK (counts.edits >= 20 * fixedSeedCount);
    CHECK (counts.storedEdits * 4 > counts.edits);
    CHECK (counts.completedStreams * 10 > counts.streams * 7);
}

TEST_CASE ("each injected bug is detected")
{
    throwOnViolation();

    for (auto value = 1; value <= static_cast<int> (lastInjectedBug); ++value)
    {
        const auto bug = static_cast<InjectedBug> (value);
        RandomCounts counts;
        auto isFound = false;

        for (auto seed = std::uint64_t { 1 }; seed <= maxSeedsPerBug && ! isFound; ++seed)
            isFound = runSeed (seed, bug, counts).has_value();

        INFO (toString (bug));
        CHECK (isFound);
    }
}
