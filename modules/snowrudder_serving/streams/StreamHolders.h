#pragma once

#include "StreamOrigin.h"

#include "snowrudder_net/snowrudder_net.h"

#include <cstddef>
#include <vector>

namespace snowrudder
{

/** The number of nodes that are told a stream's origin, besides the one where it begins. */
inline constexpr auto streamHolders = std::size_t { 2 };

/** The number of nodes that are asked for it: one more, since a node that has just been listed may rank before those
    that were told.
*/
inline constexpr auto askedHolders = streamHolders + 1;

/** @returns the nodes that rank first for a stream by rendezvous hashing, at most `count`. All nodes that know the same
    nodes compute the same ones, and one that comes or goes changes the rank of no other pair.
*/
auto holdersOf (StreamKey key, const std::vector<asio::ip::udp::endpoint>& nodes, std::size_t count)
    -> std::vector<asio::ip::udp::endpoint>;

} // namespace snowrudder
