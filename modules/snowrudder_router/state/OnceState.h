#pragma once

#include "snowrudder_requests/snowrudder_requests.h"

#include <map>
#include <mutex>
#include <optional>

namespace snowrudder
{

/** The keys of a slot that a leaving router handed over, held until the platform's record names this router as the slot's
    owner.
*/
struct HandedSlotTable
{
    std::uint64_t epoch = 0;
    WallTime knownSince {};
    std::vector<KeyEntry> entries;
};

/** A router's state of calls with idempotency keys. Guarded by one mutex; no other lock is taken while it is held. */
struct OnceState
{
    explicit OnceState (const SlotTimes& slotTimes) : times (slotTimes), table (slotTimes) {}

    const SlotTimes times;
    std::mutex mutex;
    KeyTable table;
    /** Owners and slots as last read from the platform. */
    SlotView view;
    /** This router's lease (0 for none), and the time by its own clock until which it may rely on it. */
    std::uint64_t lease = 0;
    std::optional<TimePoint> leaseEnd;
    std::map<std::uint32_t, HandedSlotTable> handedSlotTables;
};

} // namespace snowrudder
