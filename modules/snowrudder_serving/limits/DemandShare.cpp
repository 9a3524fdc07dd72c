#include "DemandShare.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** The fraction of each limit that is divided by demand. */
constexpr auto sharedByDemand = 0.95;

auto shareByDemand (const ServiceDemand& demand) -> double
{
    const auto total = demand.own + demand.others;
    const auto dividedEqually = (1.0 - sharedByDemand) * demand.equalShare;

    if (total > 0.0)
        return dividedEqually + sharedByDemand * std::min (1.0, demand.heardShare) * demand.own / total;

    // Where there is no demand at all, the first requests may come to any node.
    const auto isAllKnown = demand.heardShare + demand.equalShare / 2.0 > 1.0;
    return isAllKnown ? demand.equalShare : dividedEqually;
}

} // namespace

auto updateShare (DemandShare& share, const ServiceDemand& demand, Duration newsDelay, TimePoint now)
    -> double
{
    auto& samples = share.samples;
    const auto current = shareByDemand (demand);

    // Before its first requests a node's part is the equal one.
    if (samples.empty())
        samples.push_back ({ now - newsDelay, demand.equalShare });

    while (! samples.empty() && samples.back().share >= current)
        samples.pop_back();

    samples.push_back ({ now, current });

    while (now - samples.front().at > newsDelay)
        samples.pop_front();

    return samples.front().share;
}

} // namespace snowrudder
