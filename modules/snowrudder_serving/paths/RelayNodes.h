#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace snowrudder
{

/** Other nodes that reach the replicas, as they said themselves or as others passed on. A node that has lost its paths
    connects through one of them.
*/
struct RelayNodes
{
    using Endpoint = boost::asio::ip::udp::endpoint;

    struct Node
    {
        /** When it last said so itself, and when another node last passed it on. */
        TimePoint heardAt = longAgo;
        TimePoint passedOnAt = longAgo;
        /** Until when it isn't used, since it has refused or has not responded. */
        TimePoint unusableUntil = longAgo;
    };

    std::map<Endpoint, Node> nodes;
};

/** The largest number of nodes that are kept of those that said it themselves, and of those that were passed on. Enough to
    spread the load of a failure domain; a node's work must not grow with the fleet. Both kinds have room of their own,
    since the former are of a reader's own failure domain, which may be cut off as a whole.
*/
inline constexpr auto maxRelayNodesOfKind = std::size_t { 256 };

/** Number of nodes that a reader passes on to a node that reports to it, and to another reader. All nodes of a failure
    domain that is cut off share what its readers get, so that few nodes would get much of their load.
*/
inline constexpr auto relayNodesPerResponse = std::size_t { 8 };
inline constexpr auto relayNodesPerReaderReport = std::size_t { 24 };

/** Nodes that last said so themselves longer ago than this are dropped: some reports may be lost. */
inline constexpr auto relayNodeLifetime = Duration (3s);

/** The same for nodes that were passed on: they are replaced by others all the time, and may have been cut off since. */
inline constexpr auto passedOnLifetime = Duration (1500ms);

/** How long a node that has not responded isn't used. */
inline constexpr auto relayTimeoutPause = Duration (1s);

/** Records whether a node reaches the replicas, as it said itself.

    @param draw  a random number; a full table drops the entry that it selects
*/
auto recordRelayNode (RelayNodes& relays,
                      const RelayNodes::Endpoint& node,
                      bool reachesReplicas,
                      std::uint64_t draw,
                      TimePoint now) -> void;

/** Records a node that reaches the replicas, as another node passed on. It isn't passed on again, so that what is no
    longer true ends.
*/
auto recordPassedOnRelayNode (RelayNodes& relays,
                              const RelayNodes::Endpoint& node,
                              std::uint64_t draw,
                              TimePoint now) -> void;

/** Records a report of a node. A reader's report passes on nodes that it reads for; the reader itself is used only if it
    passes on none, since it has other work.

    @param passedOn  the nodes that it passes on
*/
auto recordRelayReport (RelayNodes& relays,
                        const RelayNodes::Endpoint& sender,
                        bool reachesReplicas,
                        std::span<const RelayNodes::Endpoint> passedOn,
                        std::uint64_t draw,
                        TimePoint now) -> void;

/** Records that a node has refused to relay a connection: it is dropped until it is heard of again. */
auto recordRelayRefusal (RelayNodes& relays, const RelayNodes::Endpoint& node) -> void;

/** Records that a node has not responded. */
auto recordRelayTimeout (RelayNodes& relays, const RelayNodes::Endpoint& node, TimePoint now) -> void;

/** @returns a node to connect through, chosen at random so that the load is spread evenly over all that are known, or
    nothing if none is usable.
*/
auto chooseRelayNode (const RelayNodes& relays, std::uint64_t draw, TimePoint now)
    -> std::optional<RelayNodes::Endpoint>;

/** @returns up to `count` usable nodes to connect through, chosen at random.

    @param except  nodes that are left out
*/
auto chooseRelayNodes (const RelayNodes& relays,
                       std::size_t count,
                       std::span<const RelayNodes::Endpoint> except,
                       std::uint64_t draw,
                       TimePoint now) -> std::vector<RelayNodes::Endpoint>;

/** @returns random nodes to pass on: to another reader only those that said it to this node, to other nodes half of each
    kind.
*/
auto sampleRelayNodes (const RelayNodes& relays, bool isForReader, std::uint64_t draw, TimePoint now)
    -> std::vector<RelayNodes::Endpoint>;

} // namespace snowrudder
