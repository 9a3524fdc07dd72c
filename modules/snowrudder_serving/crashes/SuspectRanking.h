#pragma once

#include "snowrudder_requests/crashes/CrashRecords.h"

#include "snowrudder_routing/snowrudder_routing.h"

#include <algorithm>
#include <array>
#include <vector>

namespace snowrudder
{

/** Ranks replicas by the fingerprint of a request, or of the suspected parts of its prompt, instead of the prompt itself,
    if replicas crashed during these.
    All nodes then send requests that may be fatal for the same reason to the same replica, so that only one crashes at a
    time, and requests that were interrupted together continue on different replicas. A request that may be fatal is
    confined to its own subset of the replicas as long as one of them is usable.
*/
class SuspectRanking
{
public:
    SuspectRanking (const CrashRecords& crashes, const CrashAssessment& assessment, double promptTokens)
        : isSuspect (assessment.verdict != CrashVerdict::clear), block { assessment.rankingHash },
          blockTokens { std::max (promptTokens, minimumTokens) }
    {
        if (isSuspect && assessment.crashes >= crashesToPause)
            otherSuspects = crashes.suspectRankingHashes();
    }

    /** Replaces the prompt in the input, unless the verdict is clear. The input then holds references to this object.
    */
    auto applyTo (ChoiceInput& input) const -> void
    {
        if (! isSuspect)
            return;

        input.blocks = block;
        input.blockTokens = blockTokens;
        input.anchorBlock = 0;
        input.promptTokens = blockTokens.front();
        input.ownTokens = 0.0;
        input.separatedFrom = otherSuspects;
    }

private:
    /** Lower bound for the prompt's tokens, so that the ranking outweighs small differences in load. */
    static constexpr auto minimumTokens = 2000.0;

    bool isSuspect = false;
    std::array<std::uint64_t, 1> block;
    std::array<double, 1> blockTokens;
    std::vector<std::uint64_t> otherSuspects;
};

} // namespace snowrudder
