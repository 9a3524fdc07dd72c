#include "PrefixIndex.h"

#include <algorithm>

namespace snowrudder
{

auto PrefixIndex::Entry::holds (ReplicaNumber replica) const -> bool
{
    const auto known = std::span (holders).first (holderCount);
    return std::ranges::find (known, replica) != known.end();
}

auto PrefixIndex::Entry::add (ReplicaNumber replica) -> void
{
    remove (replica);
    const auto kept = std::min<std::size_t> (holderCount, maxHolders - 1);
    std::copy_backward (holders.begin(), holders.begin() + kept, holders.begin() + kept + 1);
    holders[0] = replica;
    holderCount = static_cast<std::uint8_t> (kept + 1);
}

auto PrefixIndex::Entry::remove (ReplicaNumber replica) -> void
{
    const auto end = holders.begin() + holderCount;
    holderCount = static_cast<std::uint8_t> (std::remove (holders.begin(), end, replica) - holders.begin());
}

auto PrefixIndex::match (std::span<const std::uint64_t> blocks) const -> std::vector<PrefixMatch>
{
    std::vector<PrefixMatch> matches;

    for (auto index = std::size_t { 0 }; index < blocks.size(); ++index)
    {
        const auto found = entries.find (blocks[index]);

        if (found == entries.end())
            break;

        const auto& entry = found->second;

        auto isHeld = false;

        // A block's hash covers all blocks before it. An entry keeps few holders, so that a replica may have been
        // evicted from a block that many replicas hold, and still be listed at a later one.
        for (const auto replica : std::span (entry.holders).first (entry.holderCount))
        {
            const auto known = std::ranges::find (matches, replica, &PrefixMatch::replica);

            if (known != matches.end())
                known->blocks = index + 1;
            else
                matches.push_back ({ replica, index + 1 });

            isHeld = true;
        }

        if (! isHeld)
            break;
    }

    return matches;
}

auto PrefixIndex::record (std::span<const std::uint64_t> blocks, ReplicaNumber replica) -> void
{
    // In reverse, so that a prompt's first blocks are evicted last.
    for (auto place = blocks.rbegin(); place != blocks.rend(); ++place)
    {
        const auto block = *place;
        const auto [found, isNew] = entries.try_emplace (block);
        auto& entry = found->second;

        if (isNew)
            entry.place = leastRecentFirst.insert (leastRecentFirst.end(), block);
        else
            leastRecentFirst.splice (leastRecentFirst.end(), leastRecentFirst, entry.place);

        entry.add (replica);
    }

    while (entries.size() > capacity)
    {
        entries.erase (leastRecentFirst.front());
        leastRecentFirst.pop_front();
    }
}

auto PrefixIndex::invalidate (std::span<const std::uint64_t> blocks, std::size_t from, ReplicaNumber replica)
    -> void
{
    for (const auto block : blocks.subspan (std::min (from, blocks.size())))
        if (const auto found = entries.find (block); found != entries.end())
            found->second.remove (replica);
}

} // namespace snowrudder
