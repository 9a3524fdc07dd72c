#pragma once

#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_limits/snowrudder_limits.h"
#include "snowrudder_net/snowrudder_net.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace snowrudder
{

/** What the upstreams of a service can do, as this router sees it. */
struct ServiceCapacity
{
    double slots = 0.0;
    double busy = 0.0;
    /** Routers that share the service. */
    std::size_t routers = 1;
    /** Share of the slots that accounts that flood leave to the others. */
    double keptShare = usualKeptShare;

    static constexpr auto usualKeptShare = 0.35;
};

/** The fair queues before all services, with the coroutines that wait in them. Any thread may call it; one mutex
    guards it, and nothing else is locked while it is held.
*/
class ServiceQueues
{
public:
    /** What a request that asked for a place got. */
    struct Place
    {
        bool granted = false;
        /** Whether it waited until its deadline rather than be refused at once. */
        bool expired = false;
        Duration retryAfter {};
    };

    /** Waits for a place before a service's upstreams.

        @param maxQueued  an account's longest queue
        @param executor    of the waiting coroutine
    */
    auto enter (std::string service,
                QueuedRequest wanted,
                std::uint32_t maxQueued,
                asio::any_io_executor executor) -> Task<Place>;

    /** Gives a place back.

        @param account  of the request that had it
        @param took     how long it was held
    */
    auto leave (const std::string& service, const std::string& account, Duration took, TimePoint now) -> void;

    /** Sets the window from what the replicas are believed to have free. */
    auto setCapacity (const std::string& service, const ServiceCapacity& capacity, TimePoint now) -> void;

    /** @returns whether an account has more than its share of a service; see FairQueue::isOverShare(). */
    [[nodiscard]] auto isOverShare (const std::string& service, const std::string& account) const -> bool;

    /** Requests waiting before a service. */
    [[nodiscard]] auto waiting (const std::string& service) const -> std::size_t;

private:
    struct Waiter
    {
        std::shared_ptr<Signal> signal;
        bool granted = false;
    };

    struct Entry
    {
        FairQueue queue;
        std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
        bool hasCapacity = false;
    };

    auto grant (Entry& entry, const std::vector<std::uint64_t>& tickets) -> void;

    mutable std::mutex mutex;
    std::map<std::string, Entry> services;
    std::uint64_t nextTicket = 1;
};

/** @returns how many requests one router may have at a service's upstreams at once: its even part of all slots with a
    little headroom, and a part of what the others leave free. What a router has there already must not count: a
    window that grows with it never shrinks again.
*/
auto routerWindow (const ServiceCapacity& capacity) -> QueueWindow;

} // namespace snowrudder
