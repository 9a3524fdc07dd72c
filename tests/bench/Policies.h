#pragma once

#include "snowrudder_routing/snowrudder_routing.h"

#include <random>
#include <string_view>

namespace snowrudder
{

/** Ways to choose a replica that ours is compared with. */
enum class Policy
{
    random,
    roundRobin,
    leastLoaded,
    twoChoices,
    /** The hash ranking alone, without a look at load or own knowledge. */
    prefixHash,
    product
};

inline constexpr auto allPolicies = { Policy::random,     Policy::roundRobin, Policy::leastLoaded,
                                      Policy::twoChoices, Policy::prefixHash, Policy::product };

auto toString (Policy policy) -> std::string_view;

/** What a policy remembers between choices. */
struct PolicyState
{
    std::mt19937_64 random { 1 };
    std::size_t next = 0;
};

/** @returns a chooser for ReplicaTable::takeBy. */
auto makeChooser (Policy policy, PolicyState& state, const ChoiceWeights& weights, TimePoint now)
    -> ReplicaTable::Chooser;

} // namespace snowrudder
