#pragma once

#include "snowrudder_requests/attempt/AttemptOutcome.h"
#include "snowrudder_requests/retry/RetryDecision.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <string_view>
#include <system_error>

namespace snowrudder
{

/** @returns the failure that an error of a call step stands for. */
auto failureCauseOf (std::error_code error) -> FailureCause;

/** @returns what a failed attempt says of its replica's health. */
auto attemptHealthOf (const AttemptOutcome& outcome) -> AttemptHealth;

/** @returns the log line of an attempt that came to nothing, to be written. */
auto attemptFailedLine (std::string_view requestId,
                    std::uint32_t attempt,
                    const AttemptOutcome& outcome,
                    const RetryDecision& decision) -> LogLine;

/** @returns what the caller of a request is told that is not sent because it ends the replicas that run it.

    @param mayHaveRun  whether an attempt before may have run
*/
auto problemWhenStopped (bool mayHaveRun) -> Problem;

/** @returns what the caller is told after the last attempt. */
auto problemAfter (const AttemptOutcome& outcome, const RetryDecision& decision) -> Problem;

} // namespace snowrudder
