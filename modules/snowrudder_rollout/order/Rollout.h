#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Stage of a roll-out. Where nodes have different stages, the later one is used. */
enum class RolloutStage : std::uint8_t
{
    /** The new version gets a small share of the requests while its answers are judged. */
    proving,
    /** The new version gets all new requests, so that the streams of the old replicas end before these stop. */
    moving,
    /** The new version is the version in service. */
    completed,
    /** The new version gets no requests. */
    rolledBack
};

/** @returns the name of a stage for the log. */
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

/** An operator's order to move a service to another version, and its stage. */
struct Rollout
{
    std::string service;
    std::string targetVersion;
    /** Increases with each order for a service. */
    std::uint64_t number = 0;
    /** Time from the order until the new version is to be in service. */
    Duration period {};
    /** When a node first received the order. */
    TimePoint orderedAt {};
    RolloutStage stage = RolloutStage::proving;
};

/** @returns whether the roll-out is still in progress. */
inline auto isOpen (const Rollout& rollout) -> bool
{
    return rollout.stage == RolloutStage::proving || rollout.stage == RolloutStage::moving;
}

} // namespace snowrudder
