#pragma once

#include "snowrudder_requests/crashes/RequestFingerprint.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <algorithm>
#include <array>

namespace snowrudder
{

/** Ranks replicas for a request under which a replica ended by the request's fingerprint in place of its prompt. All nodes send
    its repeats to the same replica, so that one ends at a time, and requests that were cut together go on at different ones.
*/
class SuspectRanking
{
public:
    SuspectRanking (const RequestFingerprint& request, double promptTokens)
        : block { combineHashes (request.high, request.low) }, blockTokens { std::max (promptTokens,
                                                                                       leastTokens) }
    {
    }

    /** The input refers to this object from then on. */
    auto applyTo (ChoiceInput& input) const -> void
    {
        input.blocks = block;
        input.blockTokens = blockTokens;
        input.anchorBlock = 0;
        input.promptTokens = blockTokens.front();
        input.ownTokens = 0.0;
    }

private:
    /** What a prompt has at least, for its rank to weigh more than small differences of load. */
    static constexpr auto leastTokens = 2000.0;

    std::array<std::uint64_t, 1> block;
    std::array<double, 1> blockTokens;
};

} // namespace snowrudder
