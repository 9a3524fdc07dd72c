#pragma once

#include "../attempt/AttemptOutcome.h"

#include <algorithm>
#include <cstdint>

namespace snowrudder
{

/** Numbers of failed attempts of one request, by outcome. */
struct AttemptCount
{
    /** Attempts that may have run. */
    std::uint32_t mayHaveRun = 0;
    /** Attempts that a replica declined, or for which no replica was usable. */
    std::uint32_t declined = 0;
    /** Attempts whose replica no longer existed. */
    std::uint32_t staleEntries = 0;
};

/** Counts a failed attempt. */
inline auto recordFailure (AttemptCount& count, const AttemptOutcome& outcome) -> void
{
    if (metStaleEntry (outcome))
        ++count.staleEntries;
    else if (ranAfter (outcome) == Ran::no)
        ++count.declined;
    else
        ++count.mayHaveRun;
}

/** @returns the number of attempts that count against a request's limit, at least 1. Attempts at stale entries don't
    count: each excludes its entry from the next choice, so that a request is served even if all entries of a service
    but one are stale.

    @param uncountedRefusals  number of declined attempts that don't count either
*/
inline auto countedAttempts (const AttemptCount& count, std::uint32_t freeDeclines) -> std::uint32_t
{
    const auto declined = count.declined > freeDeclines ? count.declined - freeDeclines : 0;
    return std::max (1U, count.mayHaveRun + declined);
}

} // namespace snowrudder
