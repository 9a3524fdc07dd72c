#pragma once

#include "../attempt/AttemptOutcome.h"

#include <algorithm>
#include <cstdint>

namespace snowrudder
{

/** Attempts of one request by what became of them. */
struct AttemptCount
{
    /** That may have run. */
    std::uint32_t mayHaveRun = 0;
    /** That a replica declined, or for which no replica was usable. */
    std::uint32_t declined = 0;
    /** Whose replica was no longer there. */
    std::uint32_t staleEntries = 0;
};

/** Notes an attempt that failed. */
inline auto recordFailure (AttemptCount& count, const AttemptOutcome& outcome) -> void
{
    if (metStaleEntry (outcome))
        ++count.staleEntries;
    else if (ranAfter (outcome) == Ran::no)
        ++count.declined;
    else
        ++count.mayHaveRun;
}

/** @returns how many attempts count against a request's number of them, at least one. Those that met nobody don't: each takes a
    stale entry out of the choice, so that all of a service's entries may be stale but one.

    @param freeDeclines  declined attempts that don't count either
*/
inline auto countedAttempts (const AttemptCount& count, std::uint32_t freeDeclines) -> std::uint32_t
{
    const auto declined = count.declined > freeDeclines ? count.declined - freeDeclines : 0;
    return std::max (1U, count.mayHaveRun + declined);
}

} // namespace snowrudder
