#pragma once

#include "../attempt/AttemptOutcome.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>

namespace snowrudder
{

/** Most attempts for one request if its route or service sets no limit. */
inline constexpr auto defaultMaxAttempts = std::uint32_t { 4 };

/** The state of a request on which the decision depends. */
struct RetryInput
{
    /** Whether the request may run more than once. */
    bool repeatable = false;
    /** Whether an earlier attempt may have run. */
    bool mayHaveRun = false;
    /** Whether the caller has received a part of the answer. */
    bool answerBegun = false;
    /** Attempts that count, including the failed one; see countedAttempts(). Attempts ended by a move don't count. */
    std::uint32_t attempts = 1;
    /** Most attempts for the request. */
    std::uint32_t mostAttempts = defaultMaxAttempts;
    /** Whether the retry budget has a retry available. */
    bool budgetLeft = true;
    TimePoint deadline {};
    /** A random number from 0 to 1 that scales the pause. */
    double jitter = 0.5;
};

/** Whether a failed attempt is retried, and how. */
struct RetryDecision
{
    bool shouldRetry = false;
    /** Time to wait before the next attempt. */
    Duration pause {};
    /** Whether the next attempt takes a retry from the budget. */
    bool takesBudget = false;
    /** The error that is returned to the caller if there is no retry. */
    ErrorKind kind = ErrorKind::upstreamFailed;
    /** Whether the request ran, as far as the attempts prove it; returned to the caller with the error. */
    Ran ran = Ran::unknown;
};

/** Decides whether a failed attempt is retried.

    A request that is not repeatable is retried only if every attempt so far is proved not to have run. A repeatable one
    is retried within its budget, after a back-off with full jitter. Once the caller has received a part of the answer,
    retries don't need the budget: the request was accepted, and its number of attempts is bounded.
*/
auto decideAfterFailure (const AttemptOutcome& outcome, const RetryInput& input, TimePoint now)
    -> RetryDecision;

} // namespace snowrudder
