#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace snowrudder
{

/** How far a roll-out has come. Nodes that know different stages go by the later one. */
enum class RolloutStage : std::uint8_t
{
    /** The new version gets a small share of the requests while its answers are judged. */
    proving,
    /** It gets all new requests, so that the old replicas' streams end before they stop. */
    moving,
    /** It is the version in service. */
    completed,
    /** It gets nothing. */
    rolledBack
};

/** @returns one word for the log. */
inline auto toString (RolloutStage stage) -> std::string_view
{
    switch (stage)
    {
        case RolloutStage::moving:
            return "moving";
        case RolloutStage::completed:
            return "completed";
        case RolloutStage::rolledBack:
            return "rolled_back";
        case RolloutStage::proving:
            break;
    }

    return "proving";
}

/** An operators' order to move a service to another version, and where it stands. */
struct Rollout
{
    std::string service;
    std::string targetVersion;
    /** Rises from order to order of a service. */
    std::uint64_t number = 0;
    /** From the order until the new version is to be in service. */
    Duration period {};
    /** When a node first knew of the order. */
    TimePoint orderedAt {};
    RolloutStage stage = RolloutStage::proving;
};

/** @returns whether the order is still being carried out. */
inline auto isOpen (const Rollout& rollout) -> bool
{
    return rollout.stage == RolloutStage::proving || rollout.stage == RolloutStage::moving;
}

} // namespace snowrudder
