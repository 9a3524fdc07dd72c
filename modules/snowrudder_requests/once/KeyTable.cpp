#include "KeyTable.h"

#include <algorithm>

namespace snowrudder
{

auto KeyTable::takeOver (std::uint32_t slot, std::uint64_t epoch, WallTime takenAt) -> void
{
    const auto isFirstOwner = epoch == 1;
    slots[slot] = { epoch, isFirstOwner ? WallTime() : takenAt + times.callerSkew + times.routerSkew, false };
}

auto KeyTable::inherit (std::uint32_t slot,
                        std::uint64_t epoch,
                        WallTime knownSince,
                        const std::vector<KeyEntry>& entries) -> void
{
    for (const auto& entry : entries)
    {
        auto& known = keys[{ entry.key, entry.account }];
        known = entry;

        if (known.state == KeyState::running)
            known.state = KeyState::mayHaveRun;
    }

    slots[slot] = { epoch, knownSince, false };
}

auto KeyTable::setFrozen (std::uint32_t slot, bool frozen) -> void
{
    if (const auto found = slots.find (slot); found != slots.end())
        found->second.frozen = frozen;
}

auto KeyTable::releaseSlot (std::uint32_t slot) -> void
{
    slots.erase (slot);
}

auto KeyTable::decide (const KeyEntry& call,
                       TimePoint now,
                       WallTime wallNow,
                       std::optional<TimePoint> leaseEnd) -> KeyDecision
{
    if (const auto known = keys.find ({ call.key, call.account }); known != keys.end())
    {
        const auto& entry = known->second;

        if (entry.contentHash != call.contentHash)
            return { KeyVerdict::conflict, entry };

        return { entry.state == KeyState::mayHaveRun ? KeyVerdict::unknown : KeyVerdict::join, entry };
    }

    const auto slot = slots.find (slotOf (call.account, call.key));

    if (slot == slots.end() || slot->second.frozen)
        return { KeyVerdict::notOwner, {} };

    const auto time = timeOf (call.key);

    if (time > wallNow + times.callerSkew)
        return { KeyVerdict::tooNew, {} };

    if (time < slot->second.knownSince || time < windowStart (wallNow))
        return { KeyVerdict::unknown, {} };

    const auto holdsLease = leaseEnd && now < *leaseEnd;

    if (! holdsLease)
        return { KeyVerdict::notOwner, {} };

    const auto [place, isNew] = keys.emplace (TableKey { call.key, call.account }, call);
    requireInvariant (isNew, "a keyed call starts once");
    place->second.state = KeyState::running;
    return { KeyVerdict::run, {} };
}

auto KeyTable::recordEnd (const std::string& account, const Uuid& key, Ran ran, bool answered) -> void
{
    const auto found = keys.find ({ key, account });

    if (found == keys.end())
        return;

    requireInvariant (found->second.state == KeyState::running, "a keyed call ends once");

    if (ran == Ran::no)
        keys.erase (found);
    else
        found->second.state = answered ? KeyState::finished : KeyState::mayHaveRun;
}

auto KeyTable::entriesOf (std::uint32_t slot) const -> std::vector<KeyEntry>
{
    std::vector<KeyEntry> entries;

    for (const auto& [name, entry] : keys)
        if (slotOf (entry.account, entry.key) == slot)
            entries.push_back (entry);

    return entries;
}

auto KeyTable::runningIn (std::uint32_t slot) const -> std::size_t
{
    return static_cast<std::size_t> (
        std::ranges::count_if (keys,
                               [slot] (const auto& place)
                               {
                                   return place.second.state == KeyState::running &&
                                          slotOf (place.second.account, place.second.key) == slot;
                               }));
}

auto KeyTable::dropOld (WallTime wallNow) -> void
{
    // Keys are kept a little longer than the window, so that one is never absent from the table and still new enough to
    // run.
    const auto oldest = windowStart (wallNow) - times.callerSkew - times.routerSkew;

    while (! keys.empty() && timeOf (keys.begin()->first.first) < oldest)
        keys.erase (keys.begin());
}

} // namespace snowrudder
