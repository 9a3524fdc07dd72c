#pragma once

#include "snowrudder_routing/snowrudder_routing.h"

#include <random>
#include <string_view>

namespace snowrudder
{

/** The policies of choosing a replica that are compared. */
enum class Policy
{
    random,
    roundRobin,
    leastLoaded,
    twoChoices,
    /** Rendezvous hashing of the prompt's prefix alone, without load and without cache state. */
    prefixHash,
    product
};

inline constexpr auto allPolicies = { Policy::random,     Policy::roundRobin, Policy::leastLoaded,
                                      Policy::twoChoices, Policy::prefixHash, Policy::product };

auto toString (Policy policy) -> std::string_view;

/** The state of a policy between choices. */
struct PolicyState
{
    std::mt19937_64 random { 1 };
    std::size_t next = 0;
};

/** @returns a chooser with the given policy for ReplicaTable::takeWith. */
auto makeChooser (Policy policy, PolicyState& state, const ChoiceWeights& weights, TimePoint now)
    -> ReplicaTable::ChoiceFunction;

} // namespace snowrudder
