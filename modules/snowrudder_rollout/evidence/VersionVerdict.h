#pragma once

#include "AnswerTally.h"

#include <string>

namespace snowrudder
{

/** What answers say of a new version. */
struct VersionVerdict
{
    bool isBad = false;
    /** What showed it: a route, or all routes together. */
    std::string reason;
    /** Of the new version. */
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    /** Natural logarithm of the odds at which chance would have given it up wrongly, of the strongest evidence. */
    double evidence = 0.0;
};

/** Judges a new version by its bad answers against those of the version in service in the same time.

    Each bad answer is the new version's with the probability of its share of all answers, if both versions are equally good,
    whatever else makes answers fail: replicas that end, a store that is away, load. A mixture of bets on larger shares
    grows beyond a bound with a probability of one over the bound at most, however often it is looked at (a mixture
    sequential probability ratio test). Failed and slow answers are judged apart, all routes together and each by itself.
    Bad answers of a few replicas speak against these and not against their version.
*/
auto judgeVersion (const VersionTallies& tallies) -> VersionVerdict;

} // namespace snowrudder
