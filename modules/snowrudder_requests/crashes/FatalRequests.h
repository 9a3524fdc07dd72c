#pragma once

#include "CrashEvidence.h"

#include <optional>
#include <span>
#include <vector>

namespace snowrudder
{

/** A request is stopped once it has ended so many replicas. */
inline constexpr auto crashesToStop = std::size_t { 3 };

/** From this many crashes on a request is sent with care. */
inline constexpr auto crashesToPause = std::size_t { 2 };

/** A crash that another request may have caused as well counts for this part of one. */
inline constexpr auto contestedWeight = 0.5;

/** A crash that a request explains which is found to be fatal counts for this part of one: a request that never succeeds and
    always ran beside another one is not innocent for ever.
*/
inline constexpr auto explainedWeight = 0.25;

/** Before a request is stopped, evidence of other nodes is waited for since the crash that decided it: it may show that another
    request ended the same replicas and more.

    @param suspects  other requests that may be fatal; each of them takes its time to end one replica more
*/
auto evidenceWaitTimeFor (std::size_t suspects) -> Duration;

/** Tells which requests end the replicas that run them from those that only ran beside one.

    A crash counts against a request unless another request explains it: one that is found to be fatal, or one that ended as many
    replicas or more and may be. Requests are found one after the other, since each one found explains the crashes that it
    shares with the rest.

    @param requests  what is known of all requests under which replicas ended
    @returns         for each of them the time of the crash that decided it; nothing where it is not found to be fatal
*/
auto findFatalRequests (std::span<const CrashEvidence* const> requests)
    -> std::vector<std::optional<TimePoint>>;

} // namespace snowrudder
