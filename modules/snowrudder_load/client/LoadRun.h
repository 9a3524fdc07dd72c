#pragma once

#include "../report/LoadReport.h"
#include "../workload/RequestSource.h"

#include "load_settings.pb.h"

#include "snowrudder_net/snowrudder_net.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** How to run a workload. */
struct LoadPlan
{
    /** Routers, as callers find them behind the platform's balancer. */
    std::vector<tcp::endpoint> routers;
    /** Where the VM list is, for the upstreams' counts and prices. */
    tcp::endpoint platform;
    Duration length = 20s;
    /** Answers are waited for this long after the last request. */
    Duration drainTimeout = 90s;
    std::uint32_t threads = 1;
    double rateFactor = 1.0;
    /** Makes every second request directly to an upstream. */
    bool compareDirect = false;
    LatencyTarget target;
};

/** Runs a workload and waits for its answers. */
auto runLoad (const schema::LoadSettings& workload, const LoadPlan& plan, LoadResult& result) -> void;

/** Asks all upstreams that the platform lists now, or listed at an earlier reading, for their counts: one whose VM was
    reclaimed has still run what it ran.

    @param into  counts are added to it
    @returns     false when the platform gives no list
*/
auto addUpstreamCounts (const LoadPlan& plan, UpstreamCounts& into) -> bool;

/** @returns what was counted between two readings. */
auto countsBetween (const UpstreamCounts& before, UpstreamCounts after) -> UpstreamCounts;

} // namespace snowrudder
