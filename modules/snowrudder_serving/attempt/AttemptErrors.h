#pragma once

#include "snowrudder_requests/attempt/AttemptOutcome.h"
#include "snowrudder_requests/retry/RetryDecision.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <string>
#include <string_view>
#include <system_error>

namespace snowrudder
{

/** @returns the failure cause for an error of a step of an upstream call. */
auto failureCauseOf (std::error_code error) -> FailureCause;

/** @returns what a failed attempt indicates about its replica's health. */
auto attemptHealthOf (const AttemptOutcome& outcome) -> AttemptHealth;

/** @returns the log line for a failed attempt. The caller adds fields and writes it. */
auto attemptFailedLine (std::string_view requestId,
                        std::uint32_t attempt,
                        const AttemptOutcome& outcome,
                        const RetryDecision& decision) -> LogLine;

/** @returns the error for the caller of a request that is not sent because it crashes the replicas that run it.

    @param mayHaveRun  whether an earlier attempt may have run
*/
auto problemWhenStopped (bool mayHaveRun) -> Problem;

/** @returns the error for the caller after the last attempt has failed. */
auto problemAfter (const AttemptOutcome& outcome, const RetryDecision& decision) -> Problem;

/** @returns the refusal of a node that shuts down: the request has not run here and won't. */
auto problemWhenLeaving (std::string detail) -> Problem;

/** The state of a request whose last attempt has failed, on which the error for its caller depends. */
struct LastFailure
{
    AttemptOutcome outcome;
    RetryDecision decision;
    /** Whether any attempt may have run. */
    bool mayHaveRun = false;
    /** Whether the request may run more than once. */
    bool isRepeatable = false;
    /** Whether the request's deadline has passed. */
    bool isLate = false;
    /** When a replica may take the request, if it has not run. */
    Duration retryDelay {};
};

/** @returns the error for the caller. Its status promises that the request has not run only if no attempt may have run, or if
    the request may be repeated.
*/
auto problemAfterLast (const LastFailure& last) -> Problem;

} // namespace snowrudder
