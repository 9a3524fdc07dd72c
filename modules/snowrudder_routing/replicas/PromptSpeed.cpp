#include "PromptSpeed.h"

#include <algorithm>
#include <span>
#include <vector>

namespace snowrudder
{

namespace
{

/** The speed is computed from the longest of the kept prompts only, one in this many. */
constexpr auto longestFraction = std::size_t { 4 };

/** The quantile of their speeds that is used as the estimate. In a busy service only a third of the prompts are not
    delayed by anything else.
*/
constexpr auto quantile = 0.8;

/** Number of prompts below which there is no estimate. */
constexpr auto minSamples = std::size_t { 24 };

} // namespace

auto PromptSpeed::record (double ownTokens, Duration wait) -> void
{
    using Milliseconds = std::chrono::duration<double, std::milli>;

    if (ownTokens <= 0.0 || wait <= Duration::zero())
        return;

    samples[count % keptSamples] = { ownTokens, Milliseconds (wait).count() };
    ++count;
    update();
}

auto PromptSpeed::update() -> void
{
    if (count < minSamples)
        return;

    std::vector<Sample> kept (samples.begin(),
                              samples.begin() + static_cast<std::ptrdiff_t> (std::min (count, keptSamples)));
    const auto longest = kept.begin() + static_cast<std::ptrdiff_t> (kept.size() / longestFraction);
    std::ranges::nth_element (kept, longest, std::ranges::greater(), &Sample::tokens);

    // The time spent on anything but computing the prompt is taken as constant; the fastest answer gives the best
    // estimate of it.
    const auto first = std::ranges::min (kept, {}, &Sample::milliseconds);
    std::vector<double> speeds;

    for (const auto& sample : std::span (kept.begin(), longest))
        if (sample.milliseconds > first.milliseconds && sample.tokens > first.tokens)
            speeds.push_back ((sample.tokens - first.tokens) / (sample.milliseconds - first.milliseconds));

    if (speeds.size() < minSamples / longestFraction)
        return;

    const auto place =
        speeds.begin() + static_cast<std::ptrdiff_t> (quantile * static_cast<double> (speeds.size()));
    std::ranges::nth_element (speeds, place);
    estimate = *place;
}

} // namespace snowrudder
