#include "RetryDecision.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto firstPause = 20ms;
constexpr auto longestPause = 1s;

/** Full jitter: anything from nothing to the doubled pause. */
auto pauseAfter (std::uint32_t attempts, double jitter) -> Duration
{
    const auto doublings = std::min (attempts - 1, 10U);
    const auto most = std::min<Duration> (firstPause * (1U << doublings), longestPause);
    return std::chrono::duration_cast<Duration> (most * jitter);
}

} // namespace

auto decideAfterFailure (const AttemptOutcome& outcome, const RetryInput& input, TimePoint now)
    -> RetryDecision
{
    RetryDecision decision;
    const auto isProvedNotRun = ranAfter (outcome) == Ran::no && ! input.mayHaveRun;

    decision.kind = kindOf (outcome.cause);
    decision.ran = isProvedNotRun ? Ran::no : Ran::unknown;

    if (outcome.cause == FailureCause::abandoned || outcome.cause == FailureCause::deadline ||
        outcome.cause == FailureCause::stopped)
        return decision;

    if (! input.repeatable && ! isProvedNotRun)
        return decision;

    if (outcome.cause == FailureCause::moved)
    {
        decision.again = now < input.deadline;
        return decision;
    }

    const auto pause = metNobody (outcome) ? Duration::zero() : pauseAfter (input.attempts, input.jitter);
    // An attempt that no replica has seen adds nothing to their work.
    const auto takesBudget = ! input.answerBegun && outcome.stage != CallStage::notSent;

    if (input.attempts >= input.mostAttempts || now + pause >= input.deadline ||
        (takesBudget && ! input.budgetLeft))
        return decision;

    decision.again = true;
    decision.pause = pause;
    decision.takesBudget = takesBudget;
    return decision;
}

} // namespace snowrudder
