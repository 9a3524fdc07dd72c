#pragma once

#include "ConnectionPool.h"

#include <string_view>

namespace snowrudder
{

/** What an address does with a new connection. */
enum class EndpointState
{
    accepts,
    /** Something listens there and closes what it accepts: the process behind it has ended. */
    closes,
    /** Nothing listens there: the process has ended. */
    refuses,
    /** No word within the wait: its VM may be gone, or the way there. */
    silent
};

/** @returns one word for the log. */
auto toString (EndpointState state) -> std::string_view;

/** Opens a connection to an address and closes it again. Nothing is sent on it.

    @param wait  for the connection
    @param look  how long the connection is watched: whether the other side closes it
*/
auto probeEndpoint (ConnectionPool& pool,
                    tcp::endpoint endpoint,
                    Duration connectTimeout,
                    Duration closeTimeout = {}) -> Task<EndpointState>;

} // namespace snowrudder
