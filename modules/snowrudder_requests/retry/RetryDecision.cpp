#include "RetryDecision.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto initialBackoff = 20ms;
constexpr auto maxBackoff = 1s;

/** @returns an exponential back-off with full jitter: between zero and the doubled pause, which is capped.

    @param jitter  0 to 1
*/
auto backoffAfter (std::uint32_t attempts, double jitter) -> Duration
{
    const auto doublings = std::min (attempts - 1, 10U);
    const auto most = std::min<Duration> (initialBackoff * (1U << doublings), maxBackoff);
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
        outcome.cause == FailureCause::stopped || outcome.cause == FailureCause::versionGone ||
        outcome.cause == FailureCause::nodeLeaving)
        return decision;

    if (! input.repeatable && ! isProvedNotRun)
        return decision;

    if (outcome.cause == FailureCause::moved)
    {
        decision.shouldRetry = now < input.deadline;
        return decision;
    }

    const auto pause =
        metStaleEntry (outcome) ? Duration::zero() : backoffAfter (input.attempts, input.jitter);
    // An attempt that did not reach a replica adds no load and needs no budget.
    const auto takesBudget = ! input.answerBegun && outcome.stage != CallStage::notSent;

    if (input.attempts >= input.mostAttempts || now + pause >= input.deadline ||
        (takesBudget && ! input.budgetLeft))
        return decision;

    decision.shouldRetry = true;
    decision.pause = pause;
    decision.takesBudget = takesBudget;
    return decision;
}

} // namespace snowrudder
