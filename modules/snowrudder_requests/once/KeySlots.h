#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <string_view>

namespace snowrudder
{

/** Number of slots of the key space. Each slot is owned by one router. */
inline constexpr auto keySlotCount = std::uint32_t { 64 };

/** @returns the slot of a client account's idempotency key; the same on every router. */
inline auto slotOf (std::string_view account, const Uuid& key) -> std::uint32_t
{
    const auto keyBytes =
        std::string_view (reinterpret_cast<const char*> (key.bytes.data()), key.bytes.size());
    return static_cast<std::uint32_t> (hashBytes (keyBytes, hashBytes (account)) % keySlotCount);
}

/** Durations that govern the ownership of slots. */
struct SlotTimes
{
    /** An owner's lease at the platform. */
    Duration lease = 30s;
    /** An owner stops acting this long before the platform can end its lease. */
    Duration margin = 2s;
    /** How long a key is kept after the time in its UUID. */
    std::chrono::milliseconds window = std::chrono::minutes (10);
    /** How far a caller's wall clock may be ahead of a router's. */
    std::chrono::milliseconds callerSkew = std::chrono::seconds (1);
    /** How far two routers' wall clocks may be apart. */
    std::chrono::milliseconds routerSkew = std::chrono::milliseconds (250);
};

} // namespace snowrudder
