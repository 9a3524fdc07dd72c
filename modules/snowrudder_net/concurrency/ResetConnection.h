#pragma once

#include "AsioNames.h"

namespace snowrudder
{

/** Closes a connection in a way that the peer sees as an error, not as the end of what it was sent. */
inline auto resetConnection (tcp::socket& socket) -> void
{
    boost::system::error_code ignored;
    socket.set_option (asio::socket_base::linger (true, 0), ignored);
    // The destructor of a socket would turn the option off.
    socket.close (ignored);
}

} // namespace snowrudder
