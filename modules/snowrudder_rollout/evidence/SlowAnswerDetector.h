#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Detects answers that come several times later than the usual answers of their route at this node. The time to the
    first byte is compared relative to the prompt tokens that the replica was expected to process, so that replicas with
    empty caches are not mistaken for slow ones.
*/
class SlowAnswerDetector
{
public:
    /** Records an answer of the version in service. */
    auto record (std::string_view route,
                 Duration firstByte,
                 double expectedTokens,
                 double tokensEachMillisecond) -> void;

    /** @returns whether an answer was slow; false while too few answers of the route are recorded. */
    [[nodiscard]] auto isSlow (std::string_view route,
                               Duration firstByte,
                               double expectedTokens,
                               double tokensEachMillisecond) const -> bool;

private:
    struct Median
    {
        double value = 0.0;
        std::uint32_t count = 0;
    };

    std::map<std::string, Median, std::less<>> medians;
};

} // namespace snowrudder
