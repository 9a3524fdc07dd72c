#include "RolloutTable.h"

#include <algorithm>

namespace snowrudder
{

auto RolloutTable::merge (const Rollout& received) -> bool
{
    const auto [position, isNew] = rollouts.try_emplace (received.service, received);
    auto& known = position->second;

    if (isNew)
        return true;

    if (received.number < known.number)
        return false;

    if (received.number > known.number)
    {
        known = received;
        return true;
    }

    known.orderedAt = std::min (known.orderedAt, received.orderedAt);

    if (received.stage <= known.stage)
        return false;

    known.stage = received.stage;
    return true;
}

auto RolloutTable::withdraw (std::string_view service, std::uint64_t before) -> bool
{
    const auto found = rollouts.find (service);

    if (found == rollouts.end() || found->second.number > before || ! isOpen (found->second))
        return false;

    // Its replicas may still be listed, and the version was never accepted.
    found->second.stage = RolloutStage::rolledBack;
    return true;
}

auto RolloutTable::find (std::string_view service) const -> const Rollout*
{
    const auto found = rollouts.find (service);
    return found == rollouts.end() ? nullptr : &found->second;
}

auto RolloutTable::all() const -> std::vector<Rollout>
{
    std::vector<Rollout> known;

    for (const auto& [service, rollout] : rollouts)
        known.push_back (rollout);

    return known;
}

auto RolloutTable::hasOpenRollout (std::string_view service) const -> bool
{
    const auto* const rollout = find (service);
    return rollout != nullptr && isOpen (*rollout);
}

} // namespace snowrudder
