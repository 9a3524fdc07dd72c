#include "BrokenAnswers.h"

#include <catch2/catch.hpp>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

auto checkAnswers (std::uint64_t firstSeed, std::size_t count) -> void
{
    std::vector<AnswerPlan> plans;

    for (auto seed = firstSeed; seed < firstSeed + count; ++seed)
        plans.push_back (makeAnswerPlan (seed));

    const auto views = playAnswers (plans);

    for (auto index = std::size_t { 0 }; index < plans.size(); ++index)
    {
        const auto fault = findFault (plans[index], views[index]);
        INFO (fault);
        CHECK (fault.empty());
    }
}

} // namespace

TEST_CASE ("an answer that was broken off never looks complete (seeds 0 to 2499)")
{
    checkAnswers (0, 2500);
}

TEST_CASE ("an answer that was broken off never looks complete (seeds 2500 to 4999)")
{
    checkAnswers (2500, 2500);
}

TEST_CASE ("an answer that was broken off never looks complete (seeds 5000 to 7499)")
{
    checkAnswers (5000, 2500);
}

TEST_CASE ("an answer that was broken off never looks complete (seeds 7500 to 9999)")
{
    checkAnswers (7500, 2500);
}
