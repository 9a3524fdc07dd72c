#pragma once

#include "AnswerTally.h"

#include <string>

namespace snowrudder
{

/** Result of judging a new version by its answers. */
struct VersionVerdict
{
    bool isBad = false;
    /** Source of the strongest evidence: a route, or all routes together. */
    std::string reason;
    /** Of the new version. */
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    /** Natural logarithm of the odds against a wrong rollback by chance, for the strongest evidence. */
    double evidence = 0.0;
};

/** Judges a new version by comparing its bad answers with those of the version in service in the same period.

    If both versions are equally good, the probability that a bad answer comes from the new version equals the new
    version's share of all answers, whatever else makes answers fail (replicas that end, an unavailable store, load). A
    mixture of bets on larger shares exceeds a bound with a probability of at most one over the bound, however often it
    is evaluated (a mixture sequential probability ratio test). Failed and slow answers are judged separately, over all
    routes together and for each route. Bad answers of only a few replicas count against these replicas and not against
    their version.
*/
auto judgeVersion (const VersionTallies& tallies) -> VersionVerdict;

} // namespace snowrudder
