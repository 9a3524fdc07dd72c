#include "Policies.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

auto usableOf (std::span<const ReplicaState> replicas, const ChoiceInput& input, TimePoint now)
    -> std::vector<std::size_t>
{
    std::vector<std::size_t> usable;

    for (auto index = std::size_t { 0 }; index < replicas.size(); ++index)
    {
        const auto wasTried = std::ranges::find (input.tried, replicas[index].number) != input.tried.end();

        if (availabilityOf (replicas[index], now) == ReplicaAvailability::usable && ! wasTried)
            usable.push_back (index);
    }

    return usable;
}

auto makeChoice (std::size_t index, std::size_t usable, const ChoiceInput& input) -> std::optional<Choice>
{
    Candidate candidate;
    candidate.index = index;
    candidate.uncachedTokens = input.promptTokens;
    Choice choice;
    choice.candidates.push_back (candidate);
    choice.reason = "baseline";
    choice.usable = usable;
    return choice;
}

auto lessLoaded (std::span<const ReplicaState> replicas, std::size_t first, std::size_t second, TimePoint now)
    -> std::size_t
{
    return estimatedRequests (replicas[second], now) < estimatedRequests (replicas[first], now) ? second
                                                                                                : first;
}

} // namespace

auto toString (Policy policy) -> std::string_view
{
    switch (policy)
    {
        case Policy::random:
            return "random";
        case Policy::roundRobin:
            return "round robin";
        case Policy::leastLoaded:
            return "least loaded";
        case Policy::twoChoices:
            return "two choices";
        case Policy::prefixHash:
            return "prefix hash";
        case Policy::product:
            break;
    }

    return "ours";
}

auto makeChooser (Policy policy, PolicyState& state, const ChoiceWeights& weights, TimePoint now)
    -> ReplicaTable::ChoiceFunction
{
    if (policy == Policy::product)
        return [&weights, now] (std::span<const ReplicaState> replicas, const ChoiceInput& input)
        { return chooseReplica (replicas, input, weights, now); };

    return [policy, &state, &weights, now] (std::span<const ReplicaState> replicas,
                                            const ChoiceInput& input) -> std::optional<Choice>
    {
        const auto usable = usableOf (replicas, input, now);

        if (usable.empty())
            return {};

        const auto draw = [&] { return usable[state.random() % usable.size()]; };

        if (policy == Policy::random)
            return makeChoice (draw(), usable.size(), input);

        if (policy == Policy::roundRobin)
            return makeChoice (usable[state.next++ % usable.size()], usable.size(), input);

        if (policy == Policy::twoChoices)
            return makeChoice (lessLoaded (replicas, draw(), draw(), now), usable.size(), input);

        if (policy == Policy::leastLoaded)
        {
            // Ties are broken at random; otherwise all routers would choose the same replica.
            const auto start = state.random() % usable.size();
            auto best = usable[start];

            for (auto step = std::size_t { 1 }; step < usable.size(); ++step)
                best = lessLoaded (replicas, best, usable[(start + step) % usable.size()], now);

            return makeChoice (best, usable.size(), input);
        }

        const auto anchorBlock = std::min (weights.anchorBytes / promptBlockBytes, input.blocks.size());
        const auto anchor =
            input.blocks.empty() ? state.random() : input.blocks[std::max<std::size_t> (anchorBlock, 1) - 1];
        const auto best = *std::ranges::max_element (
            usable, {},
            [&] (std::size_t index) { return rendezvousValue (anchor, replicas[index].info.name); });
        return makeChoice (best, usable.size(), input);
    };
}

} // namespace snowrudder
