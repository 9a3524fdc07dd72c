#pragma once

#include "UsageWindows.h"

#include "../store/StateStore.h"

#include <functional>
#include <string>

namespace snowrudder
{

/** Orders how many replicas a service should have in a failure domain. */
struct CapacityOrder
{
    std::string service;
    std::string failureDomain;
    /** Whether the order is for replicas that may be reclaimed at short notice. */
    bool isReclaimable = false;
    std::uint32_t replicas = 0;
};

/** Identifies the node that makes a duty call. */
struct DutyHolder
{
    std::string node;
    std::uint64_t fence = 0;
};

/** Calls that one node makes on behalf of all. `refused` means that the platform rejects the call at present: for an
    order, that no such replicas are available.
*/
struct DutyCalls
{
    std::function<Task<StoreOutcome> (DutyHolder holder, std::uint64_t window, AccountCounts counts)>
        reportUsage;
    std::function<Task<StoreOutcome> (DutyHolder holder, CapacityOrder order)> orderCapacity;
};

} // namespace snowrudder
