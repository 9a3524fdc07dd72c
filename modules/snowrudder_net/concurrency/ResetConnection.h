#pragma once

#include "AsioNames.h"

#include <algorithm>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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

/** Sets whether every later end of a connection is a reset, which discards what has not been delivered, also where the
    kernel closes it for a process that was killed.

    @returns whether the option could be set
*/
inline auto setResetAtClose (tcp::socket& socket, bool isReset) -> bool
{
    // Not by an option of Asio, which the destructor of a socket turns off.
    const ::linger option { isReset ? 1 : 0, 0 };
    return ::setsockopt (socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option) == 0;
}

/** Limits how long the kernel goes on sending what the peer does not acknowledge, also while this process is frozen; it then
    ends the connection.

    @param limit  at least a millisecond
    @returns      whether the option could be set
*/
inline auto setDeliveryLimit (tcp::socket& socket, Duration limit) -> bool
{
    const auto whole = std::chrono::ceil<std::chrono::milliseconds> (limit).count();
    const auto milliseconds = static_cast<unsigned> (std::max<std::int64_t> (whole, 1));
    return ::setsockopt (socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
                         sizeof milliseconds) == 0;
}

} // namespace snowrudder
