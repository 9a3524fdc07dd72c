#pragma once

#include "FleetDemand.h"

#include "snowrudder_routing/snowrudder_routing.h"

#include <map>
#include <string>
#include <vector>

namespace snowrudder
{

/** When this node last logged its part of the limits that the replicas of each service state. */
struct LimitLog
{
    std::map<std::string, TimePoint, std::less<>> loggedAt;
};

/** The interval at which the parts are logged, per service, while a replica states a limit. */
inline constexpr auto limitLogInterval = Duration (2s);

/** The largest number of replicas of a service that are logged each time. */
inline constexpr auto maxLoggedReplicas = std::size_t { 16 };

/** Logs this node's part of the limits of a service's replicas with the figures that it was computed from, and how many
    requests it sent to each, unless it did so less than `limitLogInterval` ago or no replica states a limit.

    @param reportAge  time since the last report of another node was received
*/
auto logLimits (LimitLog& log,
                const std::string& service,
                const LimitShare& own,
                Duration reportAge,
                const std::vector<LimitedReplica>& replicas,
                TimePoint now) -> void;

} // namespace snowrudder
