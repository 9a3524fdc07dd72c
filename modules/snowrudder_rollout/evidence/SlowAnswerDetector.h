#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Tells answers that come several times later than a route's answers do at this node. First bytes are compared for the prompt
    that the replica was expected to read, so that replicas with empty caches are not taken for slow ones.
*/
class SlowAnswerDetector
{
public:
    /** Notes an answer of the version in service. */
    auto record (std::string_view route,
               Duration firstByte,
               double expectedTokens,
               double tokensEachMillisecond) -> void;

    /** @returns whether an answer was slow; none is while too few were noted of the route. */
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
