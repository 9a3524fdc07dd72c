#pragma once

#include "Rollout.h"

#include <map>
#include <vector>

namespace snowrudder
{

/** The latest order for each service that this node has received. */
class RolloutTable
{
public:
    /** Merges an order, or a later stage of it, from the store or another node. Updates that arrive out of order or
        twice are ignored.

        @returns whether anything changed
    */
    auto merge (const Rollout& received) -> bool;

    /** Rolls back an open roll-out whose order the operators have withdrawn.

        @param before  orders with a higher number are kept
        @returns       whether there was one
    */
    auto withdraw (std::string_view service, std::uint64_t before) -> bool;

    /** @returns the latest order for a service, or nullptr. */
    [[nodiscard]] auto find (std::string_view service) const -> const Rollout*;

    [[nodiscard]] auto all() const -> std::vector<Rollout>;

    /** @returns whether a service is being moved to another version. */
    [[nodiscard]] auto hasOpenRollout (std::string_view service) const -> bool;

    /** Whether the operators' orders were read from the store, by this node or by one that it received them from. */
    bool isLoaded = false;

private:
    std::map<std::string, Rollout, std::less<>> rollouts;
};

} // namespace snowrudder
