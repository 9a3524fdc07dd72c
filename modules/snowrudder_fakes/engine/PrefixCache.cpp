#include "PrefixCache.h"

#include "snowrudder_core/snowrudder_core.h"

#include <utility>

namespace snowrudder
{

auto BlockChain::add (std::uint64_t token, std::uint32_t blockTokens) -> void
{
    partialHash = combineHashes (partialHash, token);

    if (++partialTokens < blockTokens)
        return;

    blocks.push_back (partialHash);
    partialTokens = 0;
}

auto makeChain (std::span<const std::uint64_t> tokens, std::uint32_t blockTokens, std::uint64_t salt)
    -> BlockChain
{
    BlockChain chain;
    chain.partialHash = salt;

    for (const auto token : tokens)
        chain.add (token, blockTokens);

    return chain;
}

auto PrefixCache::countCached (std::span<const std::uint64_t> blocks) const -> std::size_t
{
    auto count = std::size_t { 0 };

    while (count < blocks.size() && entries.contains (blocks[count]))
        ++count;

    return count;
}

auto PrefixCache::store (std::span<const std::uint64_t> blocks) -> void
{
    for (auto position = blocks.rbegin(); position != blocks.rend(); ++position)
    {
        const auto block = *position;
        const auto [found, isNew] = entries.try_emplace (block);
        auto& entry = found->second;

        if (isNew)
        {
            entry.position = leastRecentlyUsed.insert (leastRecentlyUsed.end(), block);
            events.push_back ({ block, true });
        }
        else
        {
            leastRecentlyUsed.splice (leastRecentlyUsed.end(), leastRecentlyUsed, entry.position);
        }
    }

    evict();
}

auto PrefixCache::pin (std::span<const std::uint64_t> blocks) -> void
{
    for (const auto block : blocks)
        if (const auto found = entries.find (block); found != entries.end())
            ++found->second.pins;
}

auto PrefixCache::unpin (std::span<const std::uint64_t> blocks) -> void
{
    for (const auto block : blocks)
        if (const auto found = entries.find (block); found != entries.end() && found->second.pins > 0)
            --found->second.pins;
}

auto PrefixCache::clear() -> void
{
    const auto savedCapacity = capacity;
    capacity = 0;
    evict();
    capacity = savedCapacity;
}

auto PrefixCache::takeEvents() -> std::vector<CacheEvent>
{
    return std::exchange (events, {});
}

auto PrefixCache::evict() -> void
{
    auto position = leastRecentlyUsed.begin();

    while (entries.size() > capacity && position != leastRecentlyUsed.end())
    {
        const auto found = entries.find (*position);

        if (found->second.pins > 0)
        {
            ++position;
            continue;
        }

        events.push_back ({ *position, false });
        entries.erase (found);
        position = leastRecentlyUsed.erase (position);
    }
}

} // namespace snowrudder
