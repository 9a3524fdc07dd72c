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

/** The capacity of a service's upstreams, as estimated by this router. */
struct ServiceCapacity
{
    /** Number of requests that the replicas can run at once. */
    double slots = 0.0;
    /** Number of slots in use. */
    double busy = 0.0;
    /** Number of routers that share the service. */
    std::size_t routers = 1;
    /** Share of the slots that is unavailable to client accounts that exceed their share. */
    double keptShare = usualKeptShare;

    /** This router's places on replicas that are divided among the routers, which are not in `slots`. */
    double ownPlaces = 0.0;

    static constexpr auto usualKeptShare = 0.35;
};

/** One fair queue per service, with the coroutines that wait in it for a permit to send a request to the service's
    upstreams. Thread-safe: guarded by one mutex, and no other lock is taken while it is held.
*/
class ServiceQueues
{
public:
    /** The outcome of acquiring a permit. */
    struct PermitOutcome
    {
        bool granted = false;
        /** Whether the request waited until its deadline, rather than being refused at once. */
        bool expired = false;
        /** If refused, when a retry is expected to succeed. */
        Duration retryAfter {};
    };

    /** Waits for a permit to send a request to a service's upstreams.

        @param maxQueued  maximum number of queued requests per client account
        @param executor    executor of the waiting coroutine
    */
    auto acquire (std::string service,
                  QueuedRequest wanted,
                  std::uint32_t maxQueued,
                  asio::any_io_executor executor) -> Task<PermitOutcome>;

    /** The same for a request that may give up before its deadline.

        @param wake  ends the wait when it is notified
    */
    auto acquire (std::string service,
                  QueuedRequest wanted,
                  std::uint32_t maxQueued,
                  std::shared_ptr<Signal> wake) -> Task<PermitOutcome>;

    /** Releases a permit.

        @param account  client account of the request
        @param heldFor  how long the permit was held
    */
    auto release (const std::string& service, const std::string& account, Duration heldFor, TimePoint now)
        -> void;

    /** Sets the number of permits from the estimated capacity of the replicas. */
    auto setCapacity (const std::string& service, const ServiceCapacity& capacity, TimePoint now) -> void;

    /** @returns whether a client account uses more than its share of a service; see FairQueue::isOverShare(). */
    [[nodiscard]] auto isOverShare (const std::string& service, const std::string& account) const -> bool;

    /** @returns the number of requests queued for a service. */
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

/** @returns how many requests one router may have in flight to a service's upstreams: an even share of all slots plus
    10% headroom, and a quarter of the free slots. The router's own requests in flight must not enter the calculation:
    a window that grows with them never shrinks again.
*/
auto routerWindow (const ServiceCapacity& capacity) -> QueueWindow;

} // namespace snowrudder
