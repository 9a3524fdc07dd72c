#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace snowrudder
{

/** Names a replica inside one router for as long as the router runs; never used again. */
using ReplicaNumber = std::uint32_t;

/** How many of a prompt's leading blocks a replica is believed to hold. */
struct PrefixMatch
{
    ReplicaNumber replica = 0;
    std::size_t blocks = 0;
};

/** What this router believes the replicas' caches hold, from its own requests. Bounded: the least recently used
    blocks are forgotten first, and a block remembers few holders.
*/
class PrefixIndex
{
public:
    explicit PrefixIndex (std::size_t maxBlocks = 65'536) : capacity (maxBlocks) {}

    /** @returns each replica that is believed to hold the first block, with how far it goes on. */
    [[nodiscard]] auto match (std::span<const std::uint64_t> blocks) const -> std::vector<PrefixMatch>;

    /** Notes that a replica has computed these blocks. */
    auto record (std::span<const std::uint64_t> blocks, ReplicaNumber replica) -> void;

    /** Notes that a replica no longer has what was believed of this prompt.

        @param from  the first block found missing
    */
    auto invalidate (std::span<const std::uint64_t> blocks, std::size_t from, ReplicaNumber replica) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return entries.size(); }

private:
    static constexpr auto maxHolders = std::size_t { 6 };

    /** Holders of one block, the newest first. */
    struct Entry
    {
        std::array<ReplicaNumber, maxHolders> holders {};
        std::uint8_t holderCount = 0;
        std::list<std::uint64_t>::iterator place;

        [[nodiscard]] auto holds (ReplicaNumber replica) const -> bool;
        auto add (ReplicaNumber replica) -> void;
        auto remove (ReplicaNumber replica) -> void;
    };

    std::size_t capacity;
    std::unordered_map<std::uint64_t, Entry> entries;
    std::list<std::uint64_t> leastRecentFirst;
};

} // namespace snowrudder
