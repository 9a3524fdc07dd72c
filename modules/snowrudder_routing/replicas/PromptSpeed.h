#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <array>
#include <cstddef>
#include <optional>

namespace snowrudder
{

/** Prompt tokens that a service's replicas read a millisecond, learnt from how long they take to begin their answers.

    A prompt's own tokens can't be cached anywhere: a replica that begins to answer has read them, and whatever else made it
    wait only makes it look slower. So the best of what was seen lately is near the truth, while queues, prompts that others
    sent, tokens that were not cached and slow replicas pull down the rest. Within 12% of the truth at 20, 64, 157 and 400
    tokens a millisecond with half of the answers held up (PromptSpeedTests, five seeds each).
*/
class PromptSpeed
{
public:
    /** Notes how long a replica took to begin an answer.

        @param ownTokens  of the prompt that no replica can have cached
    */
    auto record (double ownTokens, Duration wait) -> void;

    /** @returns nothing while too little was seen. */
    [[nodiscard]] auto tokensPerMillisecond() const -> std::optional<double> { return estimate; }

private:
    struct Sample
    {
        double tokens = 0.0;
        double milliseconds = 0.0;
    };

    /** The last ones are kept: the share of them that nothing held up must be above `quantile`'s rest, also in a rush. */
    static constexpr auto keptSamples = std::size_t { 64 };

    auto update() -> void;

    std::array<Sample, keptSamples> samples;
    std::size_t count = 0;
    std::optional<double> estimate;
};

/** Taken for the speed of engines that nothing is known of yet, in prompt tokens a millisecond: too low a speed orders
    replicas that nobody needs for some seconds, too high a one makes callers wait.
*/
inline constexpr auto initialPromptSpeed = 64.0;

} // namespace snowrudder
