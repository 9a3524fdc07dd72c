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

/** Identifies a replica within one router process; never reused. */
using ReplicaNumber = std::uint32_t;

/** Number of a prompt's leading blocks that a replica is assumed to have cached. */
struct PrefixMatch
{
    ReplicaNumber replica = 0;
    std::size_t blocks = 0;
};

/** Estimates which prompt blocks the replicas have cached, from the requests that this router sent. The index is
    bounded: the least recently used blocks are evicted first, and each block keeps only its most recent holders.
*/
class PrefixIndex
{
public:
    explicit PrefixIndex (std::size_t maxBlocks = 65'536) : capacity (maxBlocks) {}

    /** @returns the replicas that are assumed to hold leading blocks of a prompt, each with the number of these blocks.
    */
    [[nodiscard]] auto match (std::span<const std::uint64_t> blocks) const -> std::vector<PrefixMatch>;

    /** Records that a replica has computed these blocks. */
    auto record (std::span<const std::uint64_t> blocks, ReplicaNumber replica) -> void;

    /** Removes a replica as a holder of a prompt's blocks from one block on, after they were found to be missing from
        its cache.

        @param from  index of the first missing block
    */
    auto invalidate (std::span<const std::uint64_t> blocks, std::size_t from, ReplicaNumber replica) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return entries.size(); }

private:
    static constexpr auto maxHolders = std::size_t { 6 };

    /** The holders of one block, the most recent first. */
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
