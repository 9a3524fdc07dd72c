#include "ServiceQueues.h"

#include <algorithm>
#include <cmath>

namespace snowrudder
{

namespace
{

/** Until a first report of capacity a router lets this many through. */
constexpr auto firstWindow = std::uint32_t { 64 };

} // namespace

auto routerWindow (const ServiceCapacity& capacity) -> QueueWindow
{
    constexpr auto headroom = 1.1;
    constexpr auto shareOfFree = 0.25;
    const auto routers = static_cast<double> (std::max<std::size_t> (capacity.routers, 1));
    const auto even = capacity.slots * headroom / routers;
    const auto free = std::max (0.0, capacity.slots - capacity.busy);
    const auto places = std::max (1.0, even + free * shareOfFree);
    const auto kept = capacity.slots * capacity.keptShare;
    const auto evenInFlood = (capacity.slots - kept) / routers;
    const auto slotsUnderFlood = std::max (1.0, evenInFlood + std::max (0.0, free - kept) * shareOfFree);
    return { static_cast<std::uint32_t> (std::ceil (places)),
             static_cast<std::uint32_t> (std::ceil (slotsUnderFlood)) };
}

auto ServiceQueues::enter (std::string service,
                           QueuedRequest wanted,
                           std::uint32_t maxQueued,
                           asio::any_io_executor executor) -> Task<Place>
{
    Place place;
    std::shared_ptr<Waiter> waiter;

    {
        const std::lock_guard lock (mutex);
        auto& entry = services[service];
        const auto now = SteadyClock::now();

        if (! entry.hasCapacity)
        {
            entry.queue.setWindow ({ firstWindow, firstWindow }, now);
            entry.hasCapacity = true;
        }

        wanted.ticket = nextTicket++;
        const auto answer = entry.queue.request (wanted, maxQueued, now);
        place.granted = answer.action == QueueAction::start;
        place.retryAfter = answer.retryAfter;

        if (answer.action == QueueAction::wait)
        {
            waiter = std::make_shared<Waiter>();
            waiter->signal = std::make_shared<Signal> (executor);
            entry.waiters.emplace (wanted.ticket, waiter);
        }
    }

    if (! waiter)
        co_return place;

    co_await waiter->signal->wait (wanted.deadline);

    const std::lock_guard lock (mutex);
    auto& entry = services[service];
    entry.waiters.erase (wanted.ticket);
    place.granted = waiter->granted;

    if (! place.granted)
    {
        entry.queue.withdraw (wanted.ticket);
        place.expired = true;
        place.retryAfter = entry.queue.expectedWait (wanted.account);
    }

    co_return place;
}

auto ServiceQueues::leave (const std::string& service,
                           const std::string& account,
                           Duration took,
                           TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    auto& entry = services[service];
    grant (entry, entry.queue.finish (account, took, now));
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
        requireInvariant (found != entry.waiters.end(), "a queued ticket has its waiter");
        found->second->granted = true;
        found->second->signal->notify();
    }
}

} // namespace snowrudder
