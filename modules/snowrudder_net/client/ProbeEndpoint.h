#pragma once

#include "ConnectionPool.h"

#include <string_view>

namespace snowrudder
{

/** How an address reacts to a new connection. */
enum class EndpointState
{
    accepts,
    /** The connection is accepted and then closed: the process behind the listener has ended. */
    closes,
    /** The connection is refused, as nothing listens on the address: the process has ended. */
    refuses,
    /** The connection was not established within the timeout: the VM or the network path to it may have failed. */
    silent,
    /** The connection is refused here, but another node connects to the address. */
    reachedByOthers
};

/** @returns the state's name as log lines have it. */
auto toString (EndpointState state) -> std::string_view;

/** Opens a connection to an address and closes it again, without sending anything.

    @param connectTimeout  the time limit for connecting
    @param closeTimeout    how long to wait for the other side to close the connection; zero to skip this check
*/
auto probeEndpoint (ConnectionPool& pool,
                    tcp::endpoint endpoint,
                    Duration connectTimeout,
                    Duration closeTimeout = {}) -> Task<EndpointState>;

} // namespace snowrudder
