#pragma once

#include "UsageWindows.h"

#include "../store/StateStore.h"

#include <functional>
#include <string>

namespace snowrudder
{

/** An order of how many replicas a service should have in a failure domain. */
struct CapacityOrder
{
    std::string service;
    std::string failureDomain;
    /** Whether it is for replicas that may be taken away at short notice. */
    bool isReclaimable = false;
    std::uint32_t replicas = 0;
};

/** Who makes a call of a duty. */
struct DutyHolder
{
    std::string node;
    std::uint64_t fence = 0;
};

/** The calls that one node makes for all. `refused` means that the platform won't do it now: for an order, that no such
    replicas are to be had.
*/
struct DutyCalls
{
    std::function<Task<StoreOutcome> (DutyHolder holder, std::uint64_t window, AccountCounts counts)>
        reportUsage;
    std::function<Task<StoreOutcome> (DutyHolder holder, CapacityOrder order)> orderCapacity;
};

} // namespace snowrudder
