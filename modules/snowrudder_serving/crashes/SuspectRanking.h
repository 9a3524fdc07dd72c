#pragma once

#include "snowrudder_requests/crashes/CrashTable.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <algorithm>
#include <array>
#include <vector>

namespace snowrudder
{

/** Ranks replicas for a request under which replicas ended by the request's fingerprint in place of its prompt. All nodes send
    its repeats to the same replica, so that one ends at a time, and requests that were cut together go on at different ones. One
    that may be fatal keeps to its own part of the replicas while one of those is usable.
*/
class SuspectRanking
{
public:
    SuspectRanking (const CrashTable& crashes,
                    const RequestFingerprint& request,
                    const CrashJudgement& judgement,
                    double promptTokens)
        : isSuspect (judgement.verdict != CrashVerdict::clear), block { anchorOf (request) }, blockTokens {
              std::max (promptTokens, leastTokens)
          }
    {
        if (isSuspect && judgement.crashes >= crashesToPause)
            others = crashes.suspectAnchors();
    }

    /** Changes nothing for a request that is clear. The input refers to this object from then on. */
    auto applyTo (ChoiceInput& input) const -> void
    {
        if (! isSuspect)
            return;

        input.blocks = block;
        input.blockTokens = blockTokens;
        input.anchorBlock = 0;
        input.promptTokens = blockTokens.front();
        input.ownTokens = 0.0;
        input.separatedFrom = others;
    }

private:
    /** What a prompt has at least, for its rank to weigh more than small differences of load. */
    static constexpr auto leastTokens = 2000.0;

    bool isSuspect = false;
    std::array<std::uint64_t, 1> block;
    std::array<double, 1> blockTokens;
    std::vector<std::uint64_t> others;
};

} // namespace snowrudder
