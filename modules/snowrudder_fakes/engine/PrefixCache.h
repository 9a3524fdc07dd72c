#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace snowrudder
{

/** Hashes of a token sequence's whole blocks; each depends on all tokens before its end. */
struct BlockChain
{
    std::vector<std::uint64_t> blocks;
    /** Hash and count of the tokens behind the last whole block. */
    std::uint64_t partialHash = 0;
    std::uint32_t partialTokens = 0;

    /** Adds a token. */
    auto add (std::uint64_t token, std::uint32_t blockTokens) -> void;
};

/** @returns the chain of a token sequence.

    @param salt  another salt gives unrelated blocks
*/
auto makeChain (std::span<const std::uint64_t> tokens, std::uint32_t blockTokens, std::uint64_t salt)
    -> BlockChain;

/** A change in what an engine's cache holds. */
struct CacheEvent
{
    std::uint64_t block = 0;
    bool stored = false;
};

/** A cache of prompt blocks with limited memory. Blocks of running requests are pinned; of the others the least
    recently used goes first. A chain is touched from its end to its start, so leaves go before their prefixes
    (page-aligned matching and eviction of leaves after "Radix Cache", Mini-SGLang's documentation).
*/
class PrefixCache
{
public:
    explicit PrefixCache (std::size_t maxBlocks) : capacity (maxBlocks) {}

    /** @returns how many leading blocks are cached. */
    [[nodiscard]] auto countCached (std::span<const std::uint64_t> blocks) const -> std::size_t;

    /** Stores blocks and makes them the most recently used. */
    auto store (std::span<const std::uint64_t> blocks) -> void;

    /** Keeps blocks from eviction; each pin needs its own unpin. Blocks not cached are passed over. */
    auto pin (std::span<const std::uint64_t> blocks) -> void;
    auto unpin (std::span<const std::uint64_t> blocks) -> void;

    /** Forgets everything that is not pinned. */
    auto clear() -> void;

    [[nodiscard]] auto size() const -> std::size_t { return entries.size(); }

    /** @returns what changed since the last call. */
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
