#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cstddef>

namespace snowrudder
{

/** What a node has spent on telling others of prompts. Each telling costs one datagram for each other node, and all nodes
    send some: without a budget a fleet of 295 nodes with 165 long prompts a second tells 48,000 datagrams a second.
*/
struct PromptBudget
{
    /** Datagrams that are not paid for yet. */
    double unpaidDatagrams = 0.0;
    TimePoint at {};
};

/** A prompt that takes a replica 100 ms to read holds up what else runs there. */
inline constexpr auto minAnnouncedTokens = 6000.0;

/** A prompt that takes a replica nearly a second to read is told before the one before it is paid for. */
inline constexpr auto largePromptTokens = 9 * minAnnouncedTokens;

/** Datagrams a second that a node may send to tell of prompts, on average; as many reach each node. What 83 nodes with 30 such
    prompts a second send stays within it.
*/
inline constexpr auto promptDatagramsPerSecond = 30.0;

/** @returns whether a prompt is told, noted as paid for. Larger ones may go further ahead of the budget: they hold up a replica
    for longer. One of the least size is told when nothing is owed.

    @param tokens  that its replica is expected to read
    @param others  nodes that would be told
*/
inline auto mayAnnounce (PromptBudget& budget, double tokens, std::size_t others, TimePoint now) -> bool
{
    if (tokens < minAnnouncedTokens)
        return false;

    const auto seconds = std::chrono::duration<double> (now - budget.at).count();
    budget.unpaidDatagrams = std::max (0.0, budget.unpaidDatagrams - seconds * promptDatagramsPerSecond);
    budget.at = now;
    const auto cost = static_cast<double> (others);
    const auto ahead = std::min (1.0, tokens / largePromptTokens) * cost;

    // Small fleets tell of each: their cost is paid within a second.
    if (budget.unpaidDatagrams > std::max (ahead, promptDatagramsPerSecond))
        return false;

    budget.unpaidDatagrams += cost;
    return true;
}

} // namespace snowrudder
