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

/** The owner of a slot, as the platform's key-value service stores it under `slots/NN`. It remains when the owner's
    lease ends: the owner's liveness is a separate key, `slots/owners/NAME`, which is bound to the lease.
*/
struct SlotRecord
{
    /** Name of the router that owns the slot. */
    std::string owner;
    /** Where the owner accepts callers: IP-NUMBER:PORT */
    std::string endpoint;
    std::uint64_t epoch = 0;
    /** The lease under which the owner holds the slot. */
    std::uint64_t lease = 0;
    /** From when on the owner's table is complete, in milliseconds of wall time; see OwnedSlot. */
    std::uint64_t knownSinceMilliseconds = 0;
    /** The key-value service's version of the record; not part of the stored text. */
    std::uint64_t version = 0;
};

/** @returns the text that the platform stores. */
auto toText (const SlotRecord& record) -> std::string;

/** @returns the record in a stored text, or nothing if the text is malformed. */
auto parseSlotRecord (std::string_view text) -> std::optional<SlotRecord>;

/** Prefix of all keys about slots, so that one listing is a consistent snapshot of them. */
inline constexpr auto slotsPrefix = "slots/";

/** @returns `slots/NN` */
auto slotKey (std::uint32_t slot) -> std::string;

/** @returns `slots/owners/NAME` */
auto ownerKey (const std::string& router) -> std::string;

/** All slots and the routers with leases, as last read from the platform. */
struct SlotView
{
    std::map<std::uint32_t, SlotRecord> slots;
    /** Routers with a valid lease, and its number. */
    std::map<std::string, std::uint64_t> owners;
};

/** Adds one entry of the platform's listing to a view; a malformed entry is skipped. */
auto addToView (SlotView& view, const std::string& key, const std::string& value, std::uint64_t version)
    -> void;

/** @returns the record of a slot if its owner's lease is valid, otherwise nullptr. */
auto liveOwner (const SlotView& view, std::uint32_t slot) -> const SlotRecord*;

/** @returns whether every slot has an owner with a valid lease. */
auto areAllSlotsOwned (const SlotView& view) -> bool;

/** @returns the router that should own a slot, among those with a valid lease; the same on all routers that see the
    same leases. Empty if there is none.
*/
auto preferredOwner (const SlotView& view, std::uint32_t slot) -> std::string;

/** @returns the slots that a router should claim now: those without an owner whose lease is valid, and whose preferred
    owner it is.
*/
auto slotsToClaim (const SlotView& view, const std::string& router) -> std::vector<std::uint32_t>;

} // namespace snowrudder
