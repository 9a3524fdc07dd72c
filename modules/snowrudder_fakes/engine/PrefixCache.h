#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace snowrudder
{

/** The hashes of the complete blocks of a token sequence. Each depends on all tokens up to the end of its block. */
struct BlockChain
{
    std::vector<std::uint64_t> blocks;
    /** The hash and the number of the tokens after the last complete block. */
    std::uint64_t partialHash = 0;
    std::uint32_t partialTokens = 0;

    /** Appends a token. */
    auto add (std::uint64_t token, std::uint32_t blockTokens) -> void;
};

/** @returns the chain of a token sequence.

    @param salt  chains with different salts have no blocks in common
*/
auto makeChain (std::span<const std::uint64_t> tokens, std::uint32_t blockTokens, std::uint64_t salt)
    -> BlockChain;

/** A change of the contents of an engine's cache. */
struct CacheEvent
{
    std::uint64_t block = 0;
    bool stored = false;
};

/** A cache of prompt blocks of limited size. Blocks of running requests are pinned; of the others the least recently used
    are evicted first. A chain is marked as used from its end to its start, so that leaves are evicted before their
    prefixes (page-aligned matching and eviction of leaves as in "Radix Cache", Mini-SGLang's documentation).
*/
class PrefixCache
{
public:
    explicit PrefixCache (std::size_t maxBlocks) : capacity (maxBlocks) {}

    /** @returns the number of leading blocks that are cached. */
    [[nodiscard]] auto countCached (std::span<const std::uint64_t> blocks) const -> std::size_t;

    /** Stores blocks and makes them the most recently used. */
    auto store (std::span<const std::uint64_t> blocks) -> void;

    /** Protects blocks from eviction until unpin() has been called as often as pin(). Blocks that are not cached are
        ignored.
    */
    auto pin (std::span<const std::uint64_t> blocks) -> void;
    auto unpin (std::span<const std::uint64_t> blocks) -> void;

    /** Evicts all blocks that are not pinned. */
    auto clear() -> void;

    [[nodiscard]] auto size() const -> std::size_t { return entries.size(); }

    /** @returns the changes since the last call. */
    auto takeEvents() -> std::vector<CacheEvent>;

private:
    struct Entry
    {
        std::uint32_t pins = 0;
        std::list<std::uint64_t>::iterator position;
    };

    auto evict() -> void;

    std::size_t capacity;
    std::unordered_map<std::uint64_t, Entry> entries;
    std::list<std::uint64_t> leastRecentlyUsed;
    std::vector<CacheEvent> events;
};

} // namespace snowrudder
