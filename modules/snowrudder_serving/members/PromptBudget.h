#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cstddef>

namespace snowrudder
{

/** Limits the datagrams by which a node announces prompts. Each announcement costs one datagram per other node, and all
    nodes make announcements: without a limit a fleet of 295 nodes with 165 long prompts a second sends 48,000 datagrams
    a second.
*/
struct PromptBudget
{
    /** Datagrams sent ahead of the permitted rate. */
    double unpaidDatagrams = 0.0;
    /** When `unpaidDatagrams` was last updated. */
    TimePoint updatedAt {};
};

/** The smallest prompt, in tokens, that is announced. It takes a replica 100 ms to process and delays the other
    requests there.
*/
inline constexpr auto minAnnouncedTokens = 6000.0;

/** The prompt size, in tokens, from which one full announcement may be unpaid when the next is made. Such a prompt
    takes a replica nearly a second to process.
*/
inline constexpr auto largePromptTokens = 9 * minAnnouncedTokens;

/** The average rate, per second, of datagrams by which a node may announce prompts; each node receives as many. A fleet
    of 83 nodes with 30 such prompts a second stays within it.
*/
inline constexpr auto promptDatagramsPerSecond = 30.0;

/** Decides whether a prompt is announced, and adds the cost to the budget if so. Larger prompts may exceed the budget
    further, since they delay a replica for longer. One of the smallest size is announced when almost nothing is unpaid.

    @param tokens  prompt tokens that the replica is expected to process
    @param others  nodes that would receive the announcement
*/
inline auto mayAnnounce (PromptBudget& budget, double tokens, std::size_t others, TimePoint now) -> bool
{
    if (tokens < minAnnouncedTokens)
        return false;

    const auto seconds = std::chrono::duration<double> (now - budget.updatedAt).count();
    budget.unpaidDatagrams = std::max (0.0, budget.unpaidDatagrams - seconds * promptDatagramsPerSecond);
    budget.updatedAt = now;
    const auto cost = static_cast<double> (others);
    const auto ahead = std::min (1.0, tokens / largePromptTokens) * cost;

    // Small fleets announce nearly every prompt, since the cost is paid within a second.
    if (budget.unpaidDatagrams > std::max (ahead, promptDatagramsPerSecond))
        return false;

    budget.unpaidDatagrams += cost;
    return true;
}

} // namespace snowrudder
