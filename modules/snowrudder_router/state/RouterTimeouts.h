#pragma once

#include "process_settings.pb.h"

#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_net/snowrudder_net.h"
#include "snowrudder_requests/snowrudder_requests.h"

namespace snowrudder
{

/** The router's timeouts, with their defaults. */
struct RouterTimeouts
{
    CallTimeouts call { 1s, 60s, 20s };
    Duration resume = 10s;
    Duration keepAnswer = 60s;
    Duration drain = 120s;
};

/** @returns the timeouts from the settings; defaults for those that are not set. */
auto routerTimeouts (const schema::RouterSettings& settings) -> RouterTimeouts;

/** @returns the lease and the safety margin of key slots from the settings; defaults for those that are not set. */
auto slotTimes (const schema::RouterSettings& settings) -> SlotTimes;

/** @returns the size limits and timeouts of callers' connections from the settings; defaults for those not set. */
auto serverLimits (const schema::RouterSettings& settings) -> ServerLimits;

} // namespace snowrudder
