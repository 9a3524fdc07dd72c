#include "StreamHolders.h"

#include <algorithm>
#include <utility>

namespace snowrudder
{

namespace
{

auto rankOf (StreamKey key, const asio::ip::udp::endpoint& node) -> std::uint64_t
{
    constexpr auto portBits = 16U;
    const auto address = node.address().is_v4() ? std::uint64_t { node.address().to_v4().to_uint() }
                                                : hashBytes (node.address().to_string());
    return combineHashes (key, address << portBits | node.port());
}

} // namespace

auto holdersOf (StreamKey key, const std::vector<asio::ip::udp::endpoint>& nodes, std::size_t count)
    -> std::vector<asio::ip::udp::endpoint>
{
    std::vector<std::pair<std::uint64_t, const asio::ip::udp::endpoint*>> first;

    for (const auto& node : nodes)
    {
        const auto rank = rankOf (key, node);

        if (first.size() == count && rank <= first.back().first)
            continue;

        const auto place = std::ranges::upper_bound (first, rank, std::greater(),
                                                     [] (const auto& ranked) { return ranked.first; });
        first.insert (place, { rank, &node });

        if (first.size() > count)
            first.pop_back();
    }

    std::vector<asio::ip::udp::endpoint> holders;
    holders.reserve (first.size());

    for (const auto& ranked : first)
        holders.push_back (*ranked.second);

    return holders;
}

} // namespace snowrudder
