#include "RelayNodes.h"

#include <algorithm>
#include <iterator>

namespace snowrudder
{

namespace
{

auto isHeard (const RelayNodes::Node& node, TimePoint now) -> bool
{
    return now - node.heardAt <= relayNodeLifetime;
}

auto isKnown (const RelayNodes::Node& node, TimePoint now) -> bool
{
    return isHeard (node, now) || now - node.passedOnAt <= passedOnLifetime;
}

/** Adds a node, after making room for it among those of its kind. */
auto entryOf (RelayNodes& relays,
              const RelayNodes::Endpoint& node,
              bool isFirstHand,
              std::uint64_t draw,
              TimePoint now) -> RelayNodes::Node&
{
    if (const auto found = relays.nodes.find (node); found != relays.nodes.end())
        return found->second;

    std::erase_if (relays.nodes, [now] (const auto& entry) { return ! isKnown (entry.second, now); });
    std::vector<RelayNodes::Endpoint> sameKind;

    for (const auto& [endpoint, known] : relays.nodes)
        if (isHeard (known, now) == isFirstHand)
            sameKind.push_back (endpoint);

    if (sameKind.size() >= maxRelayNodesOfKind)
        relays.nodes.erase (sameKind[draw % sameKind.size()]);

    return relays.nodes[node];
}

auto usableNodes (const RelayNodes& relays, TimePoint now) -> std::vector<RelayNodes::Endpoint>
{
    std::vector<RelayNodes::Endpoint> usable;

    for (const auto& [endpoint, node] : relays.nodes)
        if (isKnown (node, now) && now >= node.unusableUntil)
            usable.push_back (endpoint);

    return usable;
}

/** Moves up to `count` random elements to the front. */
auto shuffleFront (std::vector<RelayNodes::Endpoint>& nodes, std::size_t count, std::uint64_t draw) -> void
{
    for (auto index = std::size_t { 0 }; index < std::min (count, nodes.size()); ++index)
    {
        draw = combineHashes (draw, index);
        std::swap (nodes[index], nodes[index + draw % (nodes.size() - index)]);
    }
}

} // namespace

auto recordRelayNode (RelayNodes& relays,
                      const RelayNodes::Endpoint& node,
                      bool reachesReplicas,
                      std::uint64_t draw,
                      TimePoint now) -> void
{
    if (reachesReplicas)
        entryOf (relays, node, true, draw, now).heardAt = now;
    else
        relays.nodes.erase (node);
}

auto recordPassedOnRelayNode (RelayNodes& relays,
                              const RelayNodes::Endpoint& node,
                              std::uint64_t draw,
                              TimePoint now) -> void
{
    entryOf (relays, node, false, draw, now).passedOnAt = now;
}

auto recordRelayReport (RelayNodes& relays,
                        const RelayNodes::Endpoint& sender,
                        bool reachesReplicas,
                        std::span<const RelayNodes::Endpoint> passedOn,
                        std::uint64_t draw,
                        TimePoint now) -> void
{
    if (passedOn.empty() || ! reachesReplicas)
        recordRelayNode (relays, sender, reachesReplicas, draw, now);

    for (const auto& node : passedOn)
    {
        draw = combineHashes (draw, node.port());
        recordPassedOnRelayNode (relays, node, draw, now);
    }
}

auto recordRelayRefusal (RelayNodes& relays, const RelayNodes::Endpoint& node) -> void
{
    relays.nodes.erase (node);
}

auto recordRelayTimeout (RelayNodes& relays, const RelayNodes::Endpoint& node, TimePoint now) -> void
{
    if (const auto found = relays.nodes.find (node); found != relays.nodes.end())
        found->second.unusableUntil = now + relayTimeoutPause;
}

auto chooseRelayNode (const RelayNodes& relays, std::uint64_t draw, TimePoint now)
    -> std::optional<RelayNodes::Endpoint>
{
    const auto usable = usableNodes (relays, now);
    return usable.empty() ? std::nullopt : std::optional (usable[draw % usable.size()]);
}

auto chooseRelayNodes (const RelayNodes& relays,
                       std::size_t count,
                       std::span<const RelayNodes::Endpoint> except,
                       std::uint64_t draw,
                       TimePoint now) -> std::vector<RelayNodes::Endpoint>
{
    auto chosen = usableNodes (relays, now);
    std::erase_if (chosen,
                   [except] (const auto& node) { return std::ranges::find (except, node) != except.end(); });
    shuffleFront (chosen, count, draw);
    chosen.resize (std::min (count, chosen.size()));
    return chosen;
}

auto sampleRelayNodes (const RelayNodes& relays, bool isForReader, std::uint64_t draw, TimePoint now)
    -> std::vector<RelayNodes::Endpoint>
{
    std::vector<RelayNodes::Endpoint> heard;
    std::vector<RelayNodes::Endpoint> passedOn;

    for (const auto& [endpoint, node] : relays.nodes)
    {
        if (isHeard (node, now))
            heard.push_back (endpoint);
        else if (! isForReader && isKnown (node, now))
            passedOn.push_back (endpoint);
    }

    // Half of each kind, or more of one where the other has fewer.
    const auto count = isForReader ? relayNodesPerReaderReport : relayNodesPerResponse;
    const auto passedOnCount =
        std::min (passedOn.size(), std::max (count / 2, count - std::min (heard.size(), count / 2)));
    const auto heardCount = std::min (heard.size(), count - passedOnCount);
    shuffleFront (heard, heardCount, draw);
    shuffleFront (passedOn, passedOnCount, draw);
    heard.resize (heardCount);
    heard.insert (heard.end(), passedOn.begin(),
                  passedOn.begin() + static_cast<std::ptrdiff_t> (passedOnCount));
    return heard;
}

} // namespace snowrudder
