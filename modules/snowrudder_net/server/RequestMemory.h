#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace snowrudder
{

/** @returns the bound on what callers make a process hold.

    @param machineBytes  the memory at which the machine ends the process; 0 if it is not known
*/
auto requestMemoryBound (std::size_t machineBytes) -> std::size_t;

/** One bound on the bytes that callers make a process hold, over all connections of an event loop: read buffers, headers,
    bodies until their response has ended, and answers that callers don't read. Where it is reached, the request that is not
    complete and has held most for longest makes room; a group of callers, such as those of a client account, holds half of
    the bound at most, so that it can't take the share of the others.

    Used on the loop's thread only.
*/
class RequestMemory
{
private:
    struct Entry;

public:
    /** @param maxBytes  the bound, in bytes */
    explicit RequestMemory (std::size_t maxBytes) : limit (maxBytes) {}

    RequestMemory (const RequestMemory&) = delete;
    auto operator= (const RequestMemory&) -> RequestMemory& = delete;

    /** What one connection holds. Between requests it is in no group, which has no part of its own. */
    class Share
    {
    public:
        /** @param onEvicted  called when the connection has to give up its incomplete request; must not hold anything itself
        */
        Share (RequestMemory& requestMemory, std::function<void()> onEvicted);
        ~Share();

        Share (const Share&) = delete;
        auto operator= (const Share&) -> Share& = delete;

        /** Begins a request, which holds nothing yet and is incomplete.

            @param group  whose request it is as far as is known
        */
        auto begin (const std::string& group, TimePoint now) -> void;

        /** Sets whose request it is. */
        auto setGroup (const std::string& group) -> void;

        /** Sets how many bytes the connection holds. Evicts other requests where more than the bound would be held.

            @returns whether it may hold them; if not, the request must be refused and its bytes be freed
        */
        [[nodiscard]] auto hold (std::size_t bytes, TimePoint now) -> bool;

        /** Sets how many bytes the connection holds, unless that is over the bound: nothing is evicted for it.

            @returns whether it holds them now
        */
        [[nodiscard]] auto tryHold (std::size_t bytes) -> bool;

        /** @returns how many bytes the connection holds. */
        [[nodiscard]] auto bytes() const -> std::size_t;

        /** Marks the request as complete: it isn't evicted any more. */
        auto complete() -> void;

        /** Ends the request: the connection waits for its next one.

            @param bytes  what it holds meanwhile
        */
        auto end (std::size_t bytes) -> void;

        /** @returns whether the request had to make room for others. */
        [[nodiscard]] auto isEvicted() const -> bool;

    private:
        RequestMemory& memory;
        std::list<Entry>::iterator entry;
    };

    [[nodiscard]] auto maxBytes() const -> std::size_t { return limit; }
    [[nodiscard]] auto heldBytes() const -> std::size_t { return held; }
    [[nodiscard]] auto evictions() const -> std::uint64_t { return evicted; }
    [[nodiscard]] auto refusals() const -> std::uint64_t { return refused; }

    /** @returns whether so many bytes have been freed since the last time that the allocator should return them to the system. */
    auto takeFreedMuch() -> bool;

private:
    struct Group
    {
        std::size_t bytes = 0;
        /** Of those, the bytes of requests that are not complete. */
        std::size_t incompleteBytes = 0;
        std::size_t connections = 0;
    };

    using Groups = std::map<std::string, Group>;

    struct Entry
    {
        Groups::iterator group;
        std::size_t bytes = 0;
        TimePoint begun {};
        bool isIncomplete = false;
        bool isEvicted = false;
        std::function<void()> onEvicted;
    };

    using Entries = std::list<Entry>;

    auto set (Entry& entry, std::size_t bytes) -> void;
    auto setIncomplete (Entry& entry, bool isIncomplete) -> void;
    auto join (Entry& entry, const std::string& group) -> void;
    auto leave (Entry& entry) -> void;
    [[nodiscard]] auto groupLimit() const -> std::size_t { return limit / 2; }
    [[nodiscard]] auto isOver (const Entry& entry) const -> bool;
    [[nodiscard]] auto isGroupOver (const Entry& entry) const -> bool;
    /** @returns the request that makes room for another one: of that one's group if the group holds more than its part, of the
        group whose incomplete requests hold most otherwise; entries.end() if all are complete.
    */
    auto findVictim (const Entry& wanting, TimePoint now) -> Entries::iterator;

    std::size_t limit;
    std::size_t held = 0;
    std::size_t peak = 0;
    std::uint64_t evicted = 0;
    std::uint64_t refused = 0;
    Entries entries;
    Groups groups;
};

/** Sets the figures of a bound in the metrics. */
auto publish (const RequestMemory& memory, Metrics& metrics) -> void;

} // namespace snowrudder
