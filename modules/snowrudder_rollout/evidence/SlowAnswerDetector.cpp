#include "SlowAnswerDetector.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** An answer that takes this many times the median is slow. */
constexpr auto slowFactor = 3.5;

/** Answers of a route before its median is used. */
constexpr auto minAnswersForMedian = std::uint32_t { 20 };

/** Time that an answer takes in addition to its prompt, in milliseconds: answers to short prompts differ by less than
    their prompts do.
*/
constexpr auto fixedMilliseconds = 20.0;

/** Relative step by which each answer moves the median. */
constexpr auto medianStep = 0.05;

auto ratioOf (Duration firstByte, double expectedTokens, double tokensEachMillisecond) -> double
{
    const auto reading = expectedTokens / std::max (1.0, tokensEachMillisecond);
    return inMilliseconds (firstByte) / (fixedMilliseconds + reading);
}

} // namespace

auto SlowAnswerDetector::record (std::string_view route,
                                 Duration firstByte,
                                 double expectedTokens,
                                 double tokensEachMillisecond) -> void
{
    const auto ratio = ratioOf (firstByte, expectedTokens, tokensEachMillisecond);
    auto& median = medians.try_emplace (std::string (route)).first->second;
    median.value = median.count == 0
                       ? ratio
                       : median.value * (ratio > median.value ? 1.0 + medianStep : 1.0 - medianStep);
    ++median.count;
}

auto SlowAnswerDetector::isSlow (std::string_view route,
                                 Duration firstByte,
                                 double expectedTokens,
                                 double tokensEachMillisecond) const -> bool
{
    const auto found = medians.find (route);
    return found != medians.end() && found->second.count >= minAnswersForMedian &&
           ratioOf (firstByte, expectedTokens, tokensEachMillisecond) > slowFactor * found->second.value;
}

} // namespace snowrudder
