#pragma once

#include "StateStore.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace snowrudder
{

/** The latest call of the store for one purpose. A list of several pages counts as one call. */
struct StoreCall
{
    /** What it does, such as `list`; `none` if there was no call. Must be a literal. */
    std::string_view kind = "none";
    TimePoint sentAt = longAgo;
    /** Nothing as long as there is no response. */
    std::optional<TimePoint> endedAt {};
    StoreOutcome outcome = StoreOutcome::unknown;
};

/** What was read of a list so far. */
struct ListProgress
{
    std::size_t pages = 0;
    std::size_t items = 0;
    /** The items that could not be parsed. */
    std::size_t unreadable = 0;
    /** Whether all its pages were read. */
    bool isWhole = false;
};

/** The latest calls of the store that a node's readiness depends on. */
struct StoreCalls
{
    StoreCall configuration;
    StoreCall replicas;
    /** Of the latest list of the replicas. */
    ListProgress replicaList;
    StoreCall members;
};

/** Records that a call begins.

    @param kind  must be a literal
*/
inline auto beginCall (StoreCall& call, std::string_view kind, TimePoint now) -> void
{
    call = StoreCall { kind, now };
}

/** Records the end of the call that began last. */
inline auto endCall (StoreCall& call, StoreOutcome outcome, TimePoint now) -> void
{
    call.outcome = outcome;
    call.endedAt = now;
}

} // namespace snowrudder
