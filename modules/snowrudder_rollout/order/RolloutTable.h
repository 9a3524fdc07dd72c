#pragma once

#include "Rollout.h"

#include <map>
#include <vector>

namespace snowrudder
{

/** The latest order for each service, as this node knows it. */
class RolloutTable
{
public:
    /** Takes in an order or what another node knows of it, in any order and any number of times.

        @returns whether it changed anything
    */
    auto merge (const Rollout& heard) -> bool;

    /** Forgets an order that the operators withdrew before it was decided on.

        @param before  orders with a higher number stay
        @returns       whether there was one
    */
    auto withdraw (std::string_view service, std::uint64_t before) -> bool;

    /** @returns the latest order for a service, or nullptr. */
    [[nodiscard]] auto find (std::string_view service) const -> const Rollout*;

    [[nodiscard]] auto all() const -> std::vector<Rollout>;

    /** @returns whether a service is being moved to another version. */
    [[nodiscard]] auto hasOpenRollout (std::string_view service) const -> bool;

    /** Whether the operators' orders were read, by this node or by one that told it. */
    bool isLoaded = false;

private:
    std::map<std::string, Rollout, std::less<>> rollouts;
};

} // namespace snowrudder
