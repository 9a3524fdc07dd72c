#pragma once

#include "KeySlots.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** Who owns a slot, as the platform's key-value service holds it under `slots/NN`. It stays when its owner's lease
    ends: the owner's liveness is a key of its own, `slots/owners/NAME`, which goes with the lease.
*/
struct SlotRecord
{
    std::string owner;
    /** Where the owner takes callers: IP-NUMBER:PORT */
    std::string endpoint;
    std::uint64_t epoch = 0;
    /** The lease under which the owner holds it. */
    std::uint64_t lease = 0;
    /** From when on the owner's table is complete, in wall milliseconds; see OwnedSlot. */
    std::uint64_t knownSinceMilliseconds = 0;
    /** The key-value service's version of it; not part of the text. */
    std::uint64_t version = 0;
};

/** @returns the text that the platform holds. */
auto toText (const SlotRecord& record) -> std::string;

/** @returns empty when the text is none that a router wrote. */
auto parseSlotRecord (std::string_view text) -> std::optional<SlotRecord>;

/** Everything about slots stands below this prefix, so that one listing shows one moment. */
inline constexpr auto slotsPrefix = "slots/";

/** @returns `slots/NN` */
auto slotKey (std::uint32_t slot) -> std::string;

/** @returns `slots/owners/NAME` */
auto ownerKey (const std::string& router) -> std::string;

/** All slots and the routers that hold leases, as last read. */
struct SlotView
{
    std::map<std::uint32_t, SlotRecord> slots;
    /** Routers with a living lease, and its number. */
    std::map<std::string, std::uint64_t> owners;
};

/** Adds one entry of the platform's listing to a view; an entry that makes no sense is passed over. */
auto addToView (SlotView& view, const std::string& key, const std::string& value, std::uint64_t version)
    -> void;

/** @returns the record of a slot whose owner's lease lives, or nullptr. */
auto liveOwner (const SlotView& view, std::uint32_t slot) -> const SlotRecord*;

/** @returns whether every slot has a living owner. */
auto areAllSlotsOwned (const SlotView& view) -> bool;

/** @returns the router that should own a slot among those with a living lease: the same for all that see the same
    leases. Empty when there is none.
*/
auto preferredOwner (const SlotView& view, std::uint32_t slot) -> std::string;

/** @returns the slots that a router should claim now: those without a living owner for which it is preferred. */
auto slotsToClaim (const SlotView& view, const std::string& router) -> std::vector<std::uint32_t>;

} // namespace snowrudder
