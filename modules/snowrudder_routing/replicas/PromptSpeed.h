#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <array>
#include <cstddef>
#include <optional>

namespace snowrudder
{

/** Estimates the prefill speed of a service's replicas, in prompt tokens per millisecond, from the time that their
    answers take to begin.

    The tokens that a prompt shares with no other can't be cached, so a replica that begins to answer has computed them.
    Any other delay (queues, prompts from other routers, uncached shared tokens, slow replicas) only lowers the observed
    speed, so a high quantile of the recent samples is near the real speed. The estimate is within 12% of it at 20, 64,
    157 and 400 tokens per millisecond while half of the answers are delayed (PromptSpeedTests, five seeds each).
*/
class PromptSpeed
{
public:
    /** Adds a sample.

        @param ownTokens  tokens of the prompt that no replica can have cached
        @param wait       from sending the request until the answer began
    */
    auto record (double ownTokens, Duration wait) -> void;

    /** @returns the estimate, or nothing while there are too few samples. */
    [[nodiscard]] auto tokensPerMillisecond() const -> std::optional<double> { return estimate; }

private:
    struct Sample
    {
        double tokens = 0.0;
        double milliseconds = 0.0;
    };

    /** Number of most recent samples that are kept. Also under high load, more than 1 - `quantile` of them must be from
        requests without other delays.
    */
    static constexpr auto keptSamples = std::size_t { 64 };

    auto update() -> void;

    std::array<Sample, keptSamples> samples;
    std::size_t count = 0;
    std::optional<double> estimate;
};

/** Speed assumed for engines without an estimate yet, in prompt tokens per millisecond. A value that is too low orders
    superfluous replicas for some seconds, one that is too high makes callers wait.
*/
inline constexpr auto initialPromptSpeed = 64.0;

} // namespace snowrudder
