#include "ChooseReplica.h"

#include "../prefix/PromptBlocks.h"
#include "ReplicaPartition.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace snowrudder
{

namespace
{

/** @returns the hash that replicas are ranked by: that of the prompt's leading blocks, or of the whole prompt where it
    is shorter.
*/
auto anchorOf (const ChoiceInput& input, const ChoiceWeights& weights) -> std::uint64_t
{
    if (input.blocks.empty())
        return 0;

    if (input.anchorBlock)
        return input.blocks[std::min (*input.anchorBlock, input.blocks.size() - 1)];

    const auto anchorBlocks = std::max<std::size_t> (weights.anchorBytes / promptBlockBytes, 1);
    return input.blocks[std::min (anchorBlocks, input.blocks.size()) - 1];
}

auto wasTried (const ChoiceInput& input, ReplicaNumber number) -> bool
{
    return std::ranges::find (input.tried, number) != input.tried.end();
}

auto restrictsVersions (const ChoiceInput& input) -> bool
{
    return input.onlyVersion || input.exceptVersion || ! input.heldBackVersions.empty();
}

auto hasAllowedVersion (const ChoiceInput& input, const ReplicaState& replica) -> bool
{
    const auto& version = replica.info.version;

    if (input.onlyVersion && version != *input.onlyVersion)
        return false;

    if (input.exceptVersion && version == *input.exceptVersion)
        return false;

    return std::ranges::find (input.heldBackVersions, version) == input.heldBackVersions.end();
}

auto matchedTokens (const ChoiceInput& input, ReplicaNumber number) -> double
{
    for (const auto& match : input.matches)
        if (match.replica == number && match.blocks > 0 && ! input.blockTokens.empty())
            return input.blockTokens[std::min (match.blocks, input.blockTokens.size()) - 1];
        else if (match.replica == number)
            return static_cast<double> (match.blocks) * blockTokenEstimate;

    return 0.0;
}

/** Removes replicas that are full for a request of an account over its share, unless all of them are. */
auto keepWithCapacity (std::vector<Candidate>& candidates) -> void
{
    if (std::ranges::any_of (candidates, &Candidate::hasCapacity))
        std::erase_if (candidates, [] (const Candidate& candidate) { return ! candidate.hasCapacity; });
}

/** Removes the replicas that belong to the partitions of other requests, unless all of them do. */
auto keepSeparatedPartition (std::vector<Candidate>& candidates,
                             std::span<const ReplicaState> replicas,
                             const ChoiceInput& input,
                             const ChoiceWeights& weights) -> void
{
    const auto anchor = anchorOf (input, weights);
    const auto isOthers = [&] (const Candidate& candidate)
    { return ! isInPartition (anchor, input.separatedFrom, replicas[candidate.index].hash); };

    if (! std::ranges::all_of (candidates, isOthers))
        std::erase_if (candidates, isOthers);
}

/** @returns the hash below which a replica is reserved for long prompts, or nothing where the replicas are not split
    for this request. All routers split the replicas the same way.
*/
auto longPromptBound (std::span<const ReplicaState> replicas,
                      const ChoiceInput& input,
                      const ChoiceWeights& weights,
                      TimePoint now) -> std::optional<std::uint32_t>
{
    if (weights.longPromptThreshold <= 0.0 || input.promptTokens <= 0.0)
        return {};

    std::vector<std::uint32_t> hashes;
    hashes.reserve (replicas.size());

    for (const auto& replica : replicas)
        if (availabilityOf (replica, now) == ReplicaAvailability::usable)
            hashes.push_back (replica.hash);

    if (hashes.size() < weights.minReplicasToSplit)
        return {};

    const auto part = std::lround (weights.longPromptShare * static_cast<double> (hashes.size()));
    const auto middle = hashes.begin() + std::max (1L, part);
    std::ranges::nth_element (hashes, middle);
    return *middle;
}

/** Removes the replicas of the other partition, unless no candidate is left in the request's own, as after retries. */
auto keepPartitionForLength (std::vector<Candidate>& candidates,
                             std::span<const ReplicaState> replicas,
                             bool isLong,
                             std::uint32_t bound) -> void
{
    const auto isOther = [&] (const Candidate& candidate)
    { return isLong != (replicas[candidate.index].hash < bound); };

    if (! std::ranges::all_of (candidates, isOther))
        std::erase_if (candidates, isOther);
}

/** Finds the replica with the highest rendezvous value for a prompt. */
class RankedFirst
{
public:
    explicit RankedFirst (std::uint64_t promptAnchor) : anchor (promptAnchor) {}

    auto consider (std::size_t index, const ReplicaState& replica) -> void
    {
        const auto value = rendezvousValue (anchor, replica.info.name);

        if (first != none && value <= firstValue)
            return;

        first = index;
        firstValue = value;
    }

    [[nodiscard]] auto isFirst (std::size_t index) const -> bool { return first == index; }

private:
    static constexpr auto none = std::numeric_limits<std::size_t>::max();

    std::uint64_t anchor;
    std::size_t first = none;
    std::uint64_t firstValue = 0;
};

/** @returns the fraction of the replicas that are sampled at random as candidates for one request; 1 where all of them
    are candidates.

    Sampling avoids herding on stale load reports. Simulated with 295 routers, a quarter of the slots taken, and loads
    that were shared every 500 ms and 250 ms old: when each router compares all replicas, 84% of the calls to 6 replicas
    and 87% of the prompts to 204 replicas wait for a slot, and the busiest of the 204 has 12 times the mean load. When
    one replica is sampled for calls and two for prompts, 0.4% of the calls and no prompt wait, and the busiest has 1.7
    times the mean.
*/
auto sampledShare (const ChoiceInput& input, const ChoiceWeights& weights, std::size_t replicas) -> double
{
    if (input.routers <= maxCountedRouters)
        return 1.0;

    const auto sampledReplicas =
        input.promptTokens > 0.0 ? weights.sampledReplicas : weights.sampledReplicasForCalls;
    return sampledReplicas / static_cast<double> (replicas);
}

/** Removes replicas that are not in the sample, hold no part of the prompt and do not rank first for it. The replica
    with the lowest sample position always stays, so that the sample is never empty.
*/
auto keepSampled (std::vector<Candidate>& candidates,
                  std::span<const ReplicaState> replicas,
                  const ChoiceInput& input,
                  const ChoiceWeights& weights,
                  const RankedFirst& ranked) -> void
{
    const auto share = sampledShare (input, weights, replicas.size());

    if (share >= 1.0 || candidates.empty())
        return;

    constexpr auto bits = 64;

    for (auto& candidate : candidates)
        candidate.samplePosition =
            static_cast<double> (rendezvousValue (input.draw, replicas[candidate.index].info.name)) /
            std::exp2 (bits);

    const auto first = std::ranges::min_element (candidates, {}, &Candidate::samplePosition)->index;
    std::erase_if (candidates,
                   [&] (const Candidate& candidate)
                   {
                       const auto isKept = candidate.samplePosition < share || candidate.index == first ||
                                           candidate.uncachedTokens < input.promptTokens ||
                                           (! input.blocks.empty() && ranked.isFirst (candidate.index));
                       return ! isKept;
                   });
}

/** @returns the expected cost of waiting on a replica, in tokens: for the prompts queued before this one, and for busy
    slots.
*/
auto waitCost (const ReplicaState& replica,
               double requestEstimate,
               const ChoiceWeights& weights,
               TimePoint now) -> double
{
    const auto slots = std::max (1.0, replica.slots());
    const auto occupancy = (requestEstimate + 1.0) / slots;
    const auto excess = std::max (0.0, occupancy - 1.0);

    // A busy replica slows down long before its slots run out.
    auto cost = weights.queue * estimatedPendingTokens (replica, now);
    cost += weights.busySlot * (0.25 * occupancy * occupancy + excess * slots);

    // Waiting within the latency target is nearly free: it only breaks ties in favour of the less busy replica.
    constexpr auto tieBreak = 0.05;
    cost = std::max (0.0, cost - weights.freeWait) + tieBreak * std::min (cost, weights.freeWait);

    const auto age = now - replica.firstSeen;

    if (age < weights.slowStart)
    {
        const auto left =
            1.0 - std::chrono::duration<double> (age) / std::chrono::duration<double> (weights.slowStart);
        cost += weights.busySlot * left * requestEstimate;
    }

    return cost;
}

/** @returns how many prompt tokens the replica that ranks first is assumed to compute. A prompt's own tokens are shared
    with no other request, so no replica can have them cached.
*/
auto uncachedAtFirst (const ChoiceInput& input, const ChoiceWeights& weights) -> double
{
    const auto shared = std::max (0.0, input.promptTokens - input.ownTokens);
    return input.promptTokens - shared * weights.assumedCached;
}

/** Keeps the `keptCandidates` lowest scores, in ascending order. */
auto keepBest (std::vector<Candidate>& candidates) -> void
{
    const auto kept = std::min (keptCandidates, candidates.size());
    std::ranges::partial_sort (candidates, candidates.begin() + static_cast<std::ptrdiff_t> (kept), {},
                               &Candidate::score);
    candidates.resize (kept);
}

} // namespace

auto rendezvousValue (std::uint64_t anchor, std::string_view replicaName) -> std::uint64_t
{
    return hashBytes (replicaName, anchor);
}

auto chooseReplica (std::span<const ReplicaState> replicas,
                    const ChoiceInput& input,
                    const ChoiceWeights& weights,
                    TimePoint now) -> std::optional<Choice>
{
    Choice choice;
    const auto others = countedOtherRouters (input.routers);
    const auto bound = longPromptBound (replicas, input, weights, now);
    const auto areVersionsRestricted = restrictsVersions (input);
    RankedFirst ranked (anchorOf (input, weights));

    for (auto index = std::size_t { 0 }; index < replicas.size(); ++index)
    {
        const auto& replica = replicas[index];

        if (availabilityOf (replica, now) != ReplicaAvailability::usable)
            continue;

        if (areVersionsRestricted && ! hasAllowedVersion (input, replica))
            continue;

        ++choice.usable;

        if (! bound)
            ranked.consider (index, replica);

        if (wasTried (input, replica.number))
            continue;

        const auto uncached = std::max (0.0, input.promptTokens - matchedTokens (input, replica.number));
        const auto room = ! input.isOverShare || estimatedRequests (replica, now, others) + 1.0 <=
                                                     weights.fullOccupancy * replica.slots();
        choice.candidates.push_back ({ index, 0.0, uncached, room, 0.0 });
    }

    if (input.isOverShare)
        keepWithCapacity (choice.candidates);

    if (! input.separatedFrom.empty())
        keepSeparatedPartition (choice.candidates, replicas, input, weights);

    const auto isLongPrompt = bound && input.ownTokens > weights.longPromptThreshold;

    if (bound)
    {
        keepPartitionForLength (choice.candidates, replicas, isLongPrompt, *bound);

        for (const auto& candidate : choice.candidates)
            ranked.consider (candidate.index, replicas[candidate.index]);
    }

    keepSampled (choice.candidates, replicas, input, weights, ranked);

    if (choice.candidates.empty())
        return {};

    for (auto& candidate : choice.candidates)
    {
        const auto& replica = replicas[candidate.index];
        const auto requestEstimate = estimatedRequests (replica, now, others);
        candidate.score = waitCost (replica, requestEstimate, weights, now);

        if (isLongPrompt)
            candidate.score += weights.longPromptInterference * requestEstimate;

        if (ranked.isFirst (candidate.index) && ! input.blocks.empty())
            candidate.uncachedTokens = std::min (candidate.uncachedTokens, uncachedAtFirst (input, weights));

        candidate.score += weights.recompute * candidate.uncachedTokens;
    }

    keepBest (choice.candidates);

    const auto& winner = choice.candidates.front();
    const auto& chosen = replicas[winner.index];
    choice.requestEstimate = estimatedRequests (chosen, now, others);
    choice.pendingTokens = estimatedPendingTokens (chosen, now);
    choice.loadAge = chosen.reportTime ? std::optional<Duration> (now - *chosen.reportTime) : std::nullopt;
    const auto isCached = matchedTokens (input, chosen.number) > 0.0;
    choice.reason = choice.usable == 1              ? "only"
                    : isCached                      ? "cached"
                    : ranked.isFirst (winner.index) ? "ranked"
                                                    : "spilled";
    return choice;
}

} // namespace snowrudder
