#pragma once

#include "../attempt/AttemptOutcome.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>

namespace snowrudder
{

/** Most attempts for one request, where its route or service does not say. */
inline constexpr auto defaultMaxAttempts = std::uint32_t { 4 };

/** What the decision needs to know of a request. */
struct RetryInput
{
    /** Whether the request may run more than once. */
    bool repeatable = false;
    /** Whether an earlier attempt may have run. */
    bool mayHaveRun = false;
    /** Whether the caller has a part of the answer already. */
    bool answerBegun = false;
    /** Attempts that count, the failed one included: countedAttempts(). Moves don't. */
    std::uint32_t attempts = 1;
    /** Most attempts for the request. */
    std::uint32_t mostAttempts = defaultMaxAttempts;
    /** Whether the retry budget has something left. */
    bool budgetLeft = true;
    TimePoint deadline {};
    /** A random number from 0 to 1, for the pause. */
    double jitter = 0.5;
};

/** What follows a failed attempt. */
struct RetryDecision
{
    bool shouldRetry = false;
    /** Before the next attempt. */
    Duration pause {};
    /** Whether the next attempt is taken from the retry budget. */
    bool takesBudget = false;
    /** What the caller is told, where no attempt follows. */
    ErrorKind kind = ErrorKind::upstreamFailed;
    Ran ran = Ran::unknown;
};

/** Decides what follows a failed attempt.

    A request that may not repeat gets another attempt only when every attempt so far is proved not to have run. A
    repeatable one gets another within its budget, with a full-jitter pause. An answer that the caller has begun to
    read goes on without the budget: it was accepted, and its attempts are bounded.
*/
auto decideAfterFailure (const AttemptOutcome& outcome, const RetryInput& input, TimePoint now)
    -> RetryDecision;

} // namespace snowrudder
