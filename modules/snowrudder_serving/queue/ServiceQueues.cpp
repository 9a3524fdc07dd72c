#include "ServiceQueues.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snowrudder
{

namespace
{

/** Number of permits per service until the router knows the service's capacity. */
constexpr auto initialWindow = std::uint32_t { 64 };

} // namespace

auto routerWindow (const ServiceCapacity& capacity) -> QueueWindow
{
    constexpr auto headroom = 1.1;
    constexpr auto shareOfFree = 0.25;
    const auto routers = static_cast<double> (std::max<std::size_t> (capacity.routers, 1));
    const auto even = capacity.slots * headroom / routers;
    const auto free = std::max (0.0, capacity.slots - capacity.busy);
    const auto places = std::max (1.0, even + free * shareOfFree + capacity.ownPlaces);
    const auto reserved = capacity.slots * capacity.keptShare;
    const auto evenInOverload = (capacity.slots - reserved) / routers;
    const auto slotsUnderFlood =
        std::max (1.0, evenInOverload + std::max (0.0, free - reserved) * shareOfFree + capacity.ownPlaces);
    return { static_cast<std::uint32_t> (std::ceil (places)),
             static_cast<std::uint32_t> (std::ceil (slotsUnderFlood)) };
}

auto ServiceQueues::acquire (std::string service,
                             QueuedRequest wanted,
                             std::uint32_t maxQueued,
                             asio::any_io_executor executor) -> Task<PermitOutcome>
{
    return acquire (std::move (service), std::move (wanted), maxQueued,
                    std::make_shared<Signal> (std::move (executor)));
}

auto ServiceQueues::acquire (std::string service,
                             QueuedRequest wanted,
                             std::uint32_t maxQueued,
                             std::shared_ptr<Signal> wake) -> Task<PermitOutcome>
{
    PermitOutcome permit;
    std::shared_ptr<Waiter> waiter;

    {
        const std::lock_guard lock (mutex);
        auto& entry = services[service];
        const auto now = BootClock::now();

        if (! entry.hasCapacity)
        {
            entry.queue.setWindow ({ initialWindow, initialWindow }, now);
            entry.hasCapacity = true;
        }

        wanted.ticket = nextTicket++;
        const auto answer = entry.queue.request (wanted, maxQueued, now);
        permit.granted = answer.action == QueueAction::start;
        permit.retryAfter = answer.retryAfter;

        if (answer.action == QueueAction::wait)
        {
            waiter = std::make_shared<Waiter>();
            waiter->signal = std::move (wake);
            entry.waiters.emplace (wanted.ticket, waiter);
        }
    }

    if (! waiter)
        co_return permit;

    co_await waiter->signal->wait (wanted.deadline);

    const std::lock_guard lock (mutex);
    auto& entry = services[service];
    entry.waiters.erase (wanted.ticket);
    permit.granted = waiter->granted;

    if (! permit.granted)
    {
        entry.queue.withdraw (wanted.ticket);
        permit.expired = true;
        permit.retryAfter = entry.queue.expectedWait (wanted.account);
    }

    co_return permit;
}

auto ServiceQueues::release (const std::string& service,
                             const std::string& account,
                             Duration heldFor,
                             TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    auto& entry = services[service];
    grant (entry, entry.queue.finish (account, heldFor, now));
}

auto ServiceQueues::setCapacity (const std::string& service, const ServiceCapacity& capacity, TimePoint now)
    -> void
{
    const std::lock_guard lock (mutex);
    auto& entry = services[service];
    entry.hasCapacity = true;
    grant (entry, entry.queue.setWindow (routerWindow (capacity), now));
}

auto ServiceQueues::isOverShare (const std::string& service, const std::string& account) const -> bool
{
    const std::lock_guard lock (mutex);
    const auto found = services.find (service);
    return found != services.end() && found->second.queue.isOverShare (account);
}

auto ServiceQueues::waiting (const std::string& service) const -> std::size_t
{
    const std::lock_guard lock (mutex);
    const auto found = services.find (service);
    return found == services.end() ? 0 : found->second.queue.waiting();
}

auto ServiceQueues::grant (Entry& entry, const std::vector<std::uint64_t>& tickets) -> void
{
    for (const auto ticket : tickets)
    {
        const auto found = entry.waiters.find (ticket);
        requireInvariant (found != entry.waiters.end(), "every queued ticket has a waiter");
        found->second->granted = true;
        found->second->signal->notify();
    }
}

} // namespace snowrudder
