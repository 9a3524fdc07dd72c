#include "ConnectionPool.h"

#include <sys/socket.h>

#include <cerrno>

namespace snowrudder
{

namespace
{

/** @returns whether an idle connection can be reused: it is open and has nothing to read. A closed connection reads as
    end of stream, and a peer that violates the protocol has sent bytes without a request.
*/
auto isReusable (tcp::socket& stream) -> bool
{
    char byte = 0;
    const auto count = ::recv (stream.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

auto ConnectionPool::acquireIdle (const tcp::endpoint& endpoint, TimePoint now)
    -> std::unique_ptr<UpstreamConnection>
{
    const auto found = idle.find (endpoint);

    if (found == idle.end())
        return nullptr;

    auto& connections = found->second;

    while (! connections.empty())
    {
        auto connection = std::move (connections.back());
        connections.pop_back();

        if (now - connection->idleSince < connection->maxIdleTime && isReusable (connection->stream))
            return connection;
    }

    return nullptr;
}

auto ConnectionPool::closeExpired (TimePoint now) -> void
{
    for (auto& [endpoint, connections] : idle)
        std::erase_if (connections, [now] (const auto& connection)
                       { return now - connection->idleSince >= connection->maxIdleTime; });

    std::erase_if (idle, [] (const auto& entry) { return entry.second.empty(); });
}

auto ConnectionPool::returnToPool (const tcp::endpoint& endpoint,
                                   std::unique_ptr<UpstreamConnection> connection,
                                   TimePoint now) -> void
{
    auto& connections = idle[endpoint];

    if (connections.size() >= maxIdle)
        return;

    connection->idleSince = now;
    connection->deadline.stop();
    connections.push_back (std::move (connection));
}

} // namespace snowrudder
