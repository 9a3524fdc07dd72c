#pragma once

#include "ServiceQueues.h"

namespace snowrudder
{

/** A place before a service's upstreams, given back at its end. */
class PlaceGuard
{
public:
    PlaceGuard (ServiceQueues& serviceQueues, std::string serviceName, std::string accountName)
        : queues (serviceQueues), service (std::move (serviceName)), account (std::move (accountName)),
          since (SteadyClock::now())
    {
    }

    ~PlaceGuard()
    {
        const auto now = SteadyClock::now();
        queues.leave (service, account, now - since, now);
    }

    PlaceGuard (const PlaceGuard&) = delete;
    auto operator= (const PlaceGuard&) -> PlaceGuard& = delete;

private:
    ServiceQueues& queues;
    std::string service;
    std::string account;
    TimePoint since;
};

} // namespace snowrudder
