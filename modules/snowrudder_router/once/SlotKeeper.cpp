#include "SlotKeeper.h"

#include "../gateway/CallerScope.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto maxWatchTimeout = 5s;
constexpr auto retryInterval = 500ms;

/** Delay between the registration of this router's lease and its first claim. It lets routers that start at the same time
    register their leases before the first one claims all slots.
*/
constexpr auto claimDelay = 1s;

/** Maintains the lease and the slots, with the state between two steps. */
class SlotKeeper
{
public:
    SlotKeeper (RouterState& routerState, Worker& routerWorker)
        : state (routerState), worker (routerWorker), once (routerState.once),
          platform (worker.pool, parseEndpoint (state.settings.platform()), state.metrics),
          name (state.settings.node().name())
    {
    }

    auto run() -> Task<void>
    {
        while (! state.leaving)
        {
            const auto isFresh = co_await refresh();

            if (isFresh)
                co_await keepLease();

            if (isFresh && mayClaim())
                co_await claimSlots();

            const auto newest =
                isFresh ? co_await platform.watch (slotsPrefix, version, watchTimeout(), "slots_watch")
                        : std::nullopt;

            if (! newest)
                co_await pauseFor (worker.loop, jittered (retryInterval));
        }
    }

private:
    /** A third of the lease: leaves time to retry a renewal before the lease ends. */
    [[nodiscard]] auto renewalInterval() const -> Duration { return once.times.lease / 3; }

    [[nodiscard]] auto watchTimeout() const -> Duration
    {
        return std::min<Duration> (maxWatchTimeout, renewalInterval() / 2);
    }

    auto refresh() -> Task<bool>
    {
        const auto stored = co_await platform.list (slotsPrefix, "slots");

        if (! stored)
            co_return false;

        SlotView view;

        for (const auto& entry : *stored)
        {
            addToView (view, entry.key, entry.value, entry.version);
            version = std::max (version, entry.version);
        }

        const std::lock_guard lock (once.mutex);
        once.view = std::move (view);
        state.hasSlotOwners = state.hasSlotOwners || areAllSlotsOwned (once.view);
        adoptSlots();
        once.table.dropOld (wallTimeNow());
        co_return true;
    }

    /** Updates the key table from the platform's records: a slot is owned if its record names this router and its current
        lease.
    */
    auto adoptSlots() -> void
    {
        // A listing that was requested before the handover must not take back slots that are being handed over.
        if (state.leaving)
            return;

        for (auto slot = std::uint32_t { 0 }; slot < keySlotCount; ++slot)
        {
            const auto found = once.view.slots.find (slot);
            const auto isOwn = found != once.view.slots.end() && found->second.owner == name &&
                               once.lease != 0 && found->second.lease == once.lease;

            if (! isOwn)
                once.table.releaseSlot (slot);
            else if (! once.table.owns (slot))
                adopt (slot, found->second);
        }
    }

    auto adopt (std::uint32_t slot, const SlotRecord& record) -> void
    {
        const auto handedTable = once.handedSlotTables.find (slot);

        if (handedTable != once.handedSlotTables.end() && handedTable->second.epoch == record.epoch)
            once.table.inherit (slot, record.epoch, handedTable->second.knownSince,
                                handedTable->second.entries);
        else
            once.table.takeOver (slot, record.epoch, wallTimeNow());

        once.handedSlotTables.erase (slot);
        LogLine ("slot_owned").with ("slot", slot).with ("epoch", record.epoch).info();
    }

    auto keepLease() -> Task<void>
    {
        const auto lease = currentLease();

        if (lease != 0 && BootClock::now() < renewAt)
            co_return;

        const auto requestedAt = BootClock::now();

        if (lease != 0)
        {
            const auto outcome = co_await platform.renewLease (lease);

            if (outcome == WriteOutcome::done)
                recordLease (lease, requestedAt);
            else if (outcome == WriteOutcome::refused && BootClock::now() >= leaseEnd())
                dropLease();

            co_return;
        }

        // An owner key of this name belongs to an earlier process of this router. Its lease must end first, as that process
        // may only be paused.
        if (isNameTaken())
            co_return;

        const auto granted = co_await platform.grantLease (once.times.lease);

        if (! granted)
            co_return;

        const auto written =
            co_await platform.swap (ownerKey (name), 0, std::to_string (*granted), *granted, "lease");

        if (written.outcome == WriteOutcome::done)
            recordLease (*granted, requestedAt);
        else if (written.outcome == WriteOutcome::unknown)
            co_await resolveLease (*granted, requestedAt);
    }

    /** Reads the owner key back after a write whose response was lost, to find out whether the write took effect. */
    auto resolveLease (std::uint64_t lease, TimePoint requestedAt) -> Task<void>
    {
        const auto stored = co_await platform.read (ownerKey (name), "lease");

        if (stored && stored->value == std::to_string (lease))
            recordLease (lease, requestedAt);
    }

    auto recordLease (std::uint64_t lease, TimePoint requestedAt) -> void
    {
        renewAt = requestedAt + renewalInterval();

        if (registeredAt == TimePoint())
            registeredAt = BootClock::now();

        const std::lock_guard lock (once.mutex);
        once.lease = lease;
        once.leaseEnd = requestedAt + once.times.lease - once.times.margin;
        // Added to the view now instead of with the next listing.
        once.view.owners[name] = lease;
    }

    auto dropLease() -> void
    {
        LogLine ("lease_lost").warning();
        const std::lock_guard lock (once.mutex);
        once.lease = 0;
        once.leaseEnd.reset();
        adoptSlots();
    }

    [[nodiscard]] auto currentLease() const -> std::uint64_t
    {
        const std::lock_guard lock (once.mutex);
        return once.lease;
    }

    [[nodiscard]] auto leaseEnd() const -> TimePoint
    {
        const std::lock_guard lock (once.mutex);
        return once.leaseEnd.value_or (TimePoint());
    }

    [[nodiscard]] auto isNameTaken() const -> bool
    {
        const std::lock_guard lock (once.mutex);
        return once.view.owners.contains (name);
    }

    [[nodiscard]] auto mayClaim() const -> bool
    {
        const auto now = BootClock::now();
        return currentLease() != 0 && now < leaseEnd() && now - registeredAt >= claimDelay;
    }

    auto claimSlots() -> Task<void>
    {
        SlotView view;
        auto lease = std::uint64_t { 0 };

        {
            const std::lock_guard lock (once.mutex);
            view = once.view;
            lease = once.lease;
        }

        auto hasClaimed = false;

        for (const auto slot : slotsToClaim (view, name))
        {
            const auto found = view.slots.find (slot);
            SlotRecord record;
            record.owner = name;
            record.endpoint = state.settings.listen();
            record.epoch = found == view.slots.end() ? 1 : found->second.epoch + 1;
            record.lease = lease;
            record.knownSinceMilliseconds =
                static_cast<std::uint64_t> (wallTimeNow().time_since_epoch().count());

            const auto expected = found == view.slots.end() ? 0 : found->second.version;
            // The outcome is ignored: the next listing shows who owns the slot.
            co_await platform.swap (slotKey (slot), expected, toText (record), 0, "slots");
            hasClaimed = true;
        }

        if (hasClaimed)
            co_await refresh();
    }

    RouterState& state;
    Worker& worker;
    OnceState& once;
    PlatformClient platform;
    std::string name;
    std::uint64_t version = 0;
    TimePoint renewAt {};
    TimePoint registeredAt {};
};

} // namespace

auto keepSlots (RouterState& state, Worker& worker) -> Task<void>
{
    SlotKeeper keeper (state, worker);
    co_await keeper.run();
}

} // namespace snowrudder
