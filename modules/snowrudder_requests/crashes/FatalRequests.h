#pragma once

#include "CrashEvidence.h"

#include <optional>
#include <span>
#include <vector>

namespace snowrudder
{

/** A request is stopped once it has crashed this many replicas. */
inline constexpr auto crashesToStop = std::size_t { 3 };

/** From this many crashes on, a request pauses before it is sent and runs apart from other suspects. */
inline constexpr auto crashesToPause = std::size_t { 2 };

/** Weight of a crash that another request may have caused as well, where a crash caused by this request alone weighs 1.
*/
inline constexpr auto contestedWeight = 0.5;

/** Weight of a crash that is explained by a request already found to be fatal. It is not zero, so that a request that
    never succeeds and always ran beside another one is found in the end.
*/
inline constexpr auto explainedWeight = 0.25;

/** @returns the time between the crash that makes a request fatal and its being stopped. Evidence that arrives from
    other nodes meanwhile may show that another request ended the same replicas and more.

    @param suspects  number of suspected requests; each extends the time, since each needs time to crash one more
                     replica
*/
auto evidenceWaitTimeFor (std::size_t suspects) -> Duration;

/** Separates the requests that crash replicas from those that only ran on the same replicas at the time.

    A crash counts in full against a request unless another request explains it, being found to be fatal, or contests
    it, having as many counted crashes or more. Requests are found one after the other, since each one found explains
    the crashes that it shares with the rest.

    @param requests  the evidence of all requests that have crashes
    @returns         for each request the time of the crash by which it was found to be fatal, or nothing if it was not
*/
auto findFatalRequests (std::span<const CrashEvidence* const> requests)
    -> std::vector<std::optional<TimePoint>>;

} // namespace snowrudder
