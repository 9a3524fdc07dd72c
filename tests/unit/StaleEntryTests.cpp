#include "RoutingFixtures.h"

#include "snowrudder_requests/snowrudder_requests.h"

#include <catch2/catch.hpp>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

constexpr auto replicas = std::size_t { 12 };

/** Simulates the attempts of a non-repeatable request at one router.

    @param stale  number of entries whose replicas no longer exist: every second address refuses connections, at the
                  others another replica answers
    @returns      whether a replica served the request
*/
auto isServed (ReplicaTable& table, std::size_t stale, RetryBudget& budget, TimePoint& time) -> bool
{
    constexpr auto freeDeclines = std::uint32_t { 2 };
    std::vector<ReplicaNumber> tried;
    AttemptCount failures;

    for (;;)
    {
        ChoiceInput choice;
        choice.tried = tried;
        const auto taken = table.take ("s", choice, {}, time);
        AttemptOutcome outcome { CallStage::notSent, FailureCause::noReplica };

        if (taken)
        {
            tried.push_back (taken->ticket.number);
            const auto place = std::stoul (taken->ticket.info.name.substr (2));

            if (place >= stale)
            {
                table.release (taken->ticket, AttemptHealth::good, time);
                return true;
            }

            const auto isRefused = place % 2 == 0;
            outcome = isRefused ? AttemptOutcome { CallStage::notSent, FailureCause::connectFailed }
                                : AttemptOutcome { CallStage::receiving, FailureCause::misdirected };

            if (! isRefused)
                table.applyChanges ({ { taken->ticket.info, true } }, {}, time);

            table.release (taken->ticket, isRefused ? AttemptHealth::unreachable : AttemptHealth::refused,
                           time);
        }
        else
        {
            tried.clear();
        }

        recordFailure (failures, outcome);
        RetryInput input;
        input.attempts = countedAttempts (failures, freeDeclines);
        input.mostAttempts = 2;
        input.deadline = now + 5s;
        auto decision = decideAfterFailure (outcome, input, time);

        if (decision.shouldRetry && decision.takesBudget)
            decision.shouldRetry = takeRetry (budget);

        if (! decision.shouldRetry)
            return false;

        time += decision.pause + 1ms;
    }
}

} // namespace

// Guards against stale entries that use up a request's attempts: a request that met a third stale entry was refused
// with 503 although a working replica was listed.
TEST_CASE ("Requests are served when all entries of a service but one are stale")
{
    for (auto stale = std::size_t { 1 }; stale < replicas; ++stale)
    {
        ReplicaTable table;
        table.update (listedNumbered (replicas), now);
        RetryBudget budget;
        budget.left = static_cast<double> (replicas);
        auto time = now;
        auto refused = 0;

        for (auto request = 0; request < 200; ++request)
            refused += isServed (table, stale, budget, time) ? 0 : 1;

        CAPTURE (stale);
        CHECK (refused == 0);
    }
}
