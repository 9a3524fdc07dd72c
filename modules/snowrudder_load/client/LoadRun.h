#pragma once

#include "../report/LoadReport.h"
#include "../workload/RequestSource.h"

#include "load_settings.pb.h"

#include "snowrudder_net/snowrudder_net.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** The parameters of a load run. */
struct LoadPlan
{
    /** The routers that the platform's load balancer distributes callers to. */
    std::vector<tcp::endpoint> routers;
    /** Serves the VM list, which gives the upstreams and their prices. */
    tcp::endpoint platform;
    Duration length = 20s;
    /** How long to wait for outstanding answers after the last request. */
    Duration drainTimeout = 90s;
    std::uint32_t threads = 1;
    double rateFactor = 1.0;
    /** Sends every second request directly to an upstream. */
    bool compareDirect = false;
    LatencyTarget target;
};

/** Runs a workload and waits for its answers, for up to LoadPlan::drainTimeout after the last request. */
auto runLoad (const schema::LoadSettings& workload, const LoadPlan& plan, LoadResult& result) -> void;

/** Queries the counts of all upstreams that the platform lists now or listed at an earlier call: the work of an upstream
    whose VM was reclaimed counts too.

    @param into  the counts are added to it
    @returns     false when the platform provides no VM list
*/
auto addUpstreamCounts (const LoadPlan& plan, UpstreamCounts& into) -> bool;

/** @returns the difference of two readings of the counts. */
auto countsBetween (const UpstreamCounts& before, UpstreamCounts after) -> UpstreamCounts;

} // namespace snowrudder
