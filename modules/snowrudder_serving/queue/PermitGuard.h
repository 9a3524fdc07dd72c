#pragma once

#include "ServiceQueues.h"

namespace snowrudder
{

/** Releases a permit for a service's upstreams when it goes out of scope. */
class PermitGuard
{
public:
    PermitGuard (ServiceQueues& serviceQueues, std::string serviceName, std::string accountName)
        : queues (serviceQueues), service (std::move (serviceName)), account (std::move (accountName)),
          acquiredAt (BootClock::now())
    {
    }

    ~PermitGuard()
    {
        const auto now = BootClock::now();
        queues.release (service, account, now - acquiredAt, now);
    }

    PermitGuard (const PermitGuard&) = delete;
    auto operator= (const PermitGuard&) -> PermitGuard& = delete;

private:
    ServiceQueues& queues;
    std::string service;
    std::string account;
    TimePoint acquiredAt;
};

} // namespace snowrudder
