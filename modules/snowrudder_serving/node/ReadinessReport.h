#pragma once

#include "ServingState.h"

namespace snowrudder
{

/** Publishes whether and since when a node is not ready, and logs why, with the latest calls of the store for what is missing.
    Call it several times a second.
*/
class ReadinessReport
{
public:
    explicit ReadinessReport (Metrics& metrics);

    auto update (const ServingState& state, TimePoint now) -> void;

private:
    auto publish (TimePoint now) -> void;
    auto logNotReady (const ServingState& state, TimePoint now) const -> void;

    ReadinessWatch watch;
    Gauge& ready;
    std::array<Gauge*, readinessGaps.size()> seconds;
};

} // namespace snowrudder
