#include "BrokenAnswers.h"

#include <catch2/catch.hpp>

#include <stdexcept>

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

/** Records the invariants that are broken while it exists, in place of ending the process. */
class BrokenInvariants
{
public:
    BrokenInvariants()
    {
        names().clear();
        before = setInvariantHandler (
            [] (std::string_view name)
            {
                names().emplace_back (name);
                throw std::runtime_error (std::string (name));
            });
    }

    ~BrokenInvariants() { setInvariantHandler (before); }

    BrokenInvariants (const BrokenInvariants&) = delete;
    auto operator= (const BrokenInvariants&) -> BrokenInvariants& = delete;

    static auto names() -> std::vector<std::string>&
    {
        static std::vector<std::string> list;
        return list;
    }

private:
    InvariantHandler before = nullptr;
};

} // namespace

// Guards against a second response to a caller that has the head of a stream, which ended the process.
TEST_CASE ("whatever the next attempt brings, no answer is joined and no invariant is broken")
{
    const BrokenInvariants invariants;
    const auto plans = makeNextAttemptPlans();
    const auto views = playAnswers (plans);

    for (auto index = std::size_t { 0 }; index < plans.size(); ++index)
    {
        const auto fault = findNextAttemptFault (plans[index], views[index]);
        INFO (fault);
        CHECK (fault.empty());
    }

    CHECK (BrokenInvariants::names().empty());
}

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
