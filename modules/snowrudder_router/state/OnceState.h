#pragma once

#include "snowrudder_requests/snowrudder_requests.h"

#include <map>
#include <mutex>
#include <optional>

namespace snowrudder
{

/** A slot's table that a leaving router handed over, until the platform's record names this router as its owner. */
struct HandedSlotTable
{
    std::uint64_t epoch = 0;
    WallTime knownSince {};
    std::vector<KeyEntry> entries;
};

/** All that a router knows of keyed calls. One mutex guards it; nothing else is locked while it is held. */
struct OnceState
{
    explicit OnceState (const SlotTimes& slotTimes) : times (slotTimes), table (slotTimes) {}

    const SlotTimes times;
    std::mutex mutex;
    KeyTable table;
    /** As last read from the platform. */
    SlotView view;
    /** This router's lease, and until when it may act on it by its own clock. */
    std::uint64_t lease = 0;
    std::optional<TimePoint> leaseEnd;
    std::map<std::uint32_t, HandedSlotTable> handedSlotTables;
};

} // namespace snowrudder
