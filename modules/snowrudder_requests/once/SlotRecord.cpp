#include "SlotRecord.h"

#include <boost/json.hpp>

#include <charconv>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

const auto ownersPrefix = std::string ("slots/owners/");

} // namespace

auto toText (const SlotRecord& record) -> std::string
{
    json::object object;
    object["owner"] = record.owner;
    object["endpoint"] = record.endpoint;
    object["epoch"] = record.epoch;
    object["lease"] = record.lease;
    object["known_since_milliseconds"] = record.knownSinceMilliseconds;
    return json::serialize (object);
}

auto parseSlotRecord (std::string_view text) -> std::optional<SlotRecord>
{
    const auto object = parseObject (text);

    if (! object)
        return {};

    SlotRecord record { textIn (*object, "owner"), textIn (*object, "endpoint"),
                        wholeNumberIn (*object, "epoch"), wholeNumberIn (*object, "lease"),
                        wholeNumberIn (*object, "known_since_milliseconds") };

    if (record.owner.empty() || record.endpoint.empty() || record.epoch == 0)
        return {};

    return record;
}

auto slotKey (std::uint32_t slot) -> std::string
{
    return slotsPrefix + std::to_string (slot);
}

auto ownerKey (const std::string& router) -> std::string
{
    return ownersPrefix + router;
}

auto addToView (SlotView& view, const std::string& key, const std::string& value, std::uint64_t version)
    -> void
{
    if (key.starts_with (ownersPrefix))
    {
        auto lease = std::uint64_t { 0 };
        std::from_chars (value.data(), value.data() + value.size(), lease);
        view.owners[key.substr (ownersPrefix.size())] = lease;
        return;
    }

    auto slot = keySlotCount;
    const auto number = std::string_view (key).substr (std::string_view (slotsPrefix).size());
    std::from_chars (number.data(), number.data() + number.size(), slot);
    auto record = parseSlotRecord (value);

    if (! record || slot >= keySlotCount)
        return;

    record->version = version;
    view.slots[slot] = std::move (*record);
}

auto liveOwner (const SlotView& view, std::uint32_t slot) -> const SlotRecord*
{
    const auto record = view.slots.find (slot);

    if (record == view.slots.end())
        return nullptr;

    const auto owner = view.owners.find (record->second.owner);
    const auto isAlive = owner != view.owners.end() && owner->second == record->second.lease;
    return isAlive ? &record->second : nullptr;
}

auto areAllSlotsOwned (const SlotView& view) -> bool
{
    for (auto slot = std::uint32_t { 0 }; slot < keySlotCount; ++slot)
        if (liveOwner (view, slot) == nullptr)
            return false;

    return true;
}

auto preferredOwner (const SlotView& view, std::uint32_t slot) -> std::string
{
    std::string best;
    auto bestValue = std::uint64_t { 0 };

    for (const auto& [name, lease] : view.owners)
    {
        const auto value = hashBytes (name, slot + 1);

        if (best.empty() || value > bestValue)
        {
            best = name;
            bestValue = value;
        }
    }

    return best;
}

auto slotsToClaim (const SlotView& view, const std::string& router) -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> slots;

    for (auto slot = std::uint32_t { 0 }; slot < keySlotCount; ++slot)
        if (liveOwner (view, slot) == nullptr && preferredOwner (view, slot) == router)
            slots.push_back (slot);

    return slots;
}

} // namespace snowrudder
