#include "ProbeEndpoint.h"

#include "../concurrency/AsioNames.h"

#include <array>

namespace snowrudder
{

auto toString (EndpointState state) -> std::string_view
{
    switch (state)
    {
        case EndpointState::accepts:
            return "accepts";
        case EndpointState::closes:
            return "closes";
        case EndpointState::refuses:
            return "refuses";
        case EndpointState::reachedByOthers:
            return "reached_by_others";
        case EndpointState::silent:
            break;
    }

    return "silent";
}

auto probeEndpoint (ConnectionPool& pool,
                    tcp::endpoint endpoint,
                    Duration connectTimeout,
                    Duration closeTimeout) -> Task<EndpointState>
{
    const auto connection = pool.createConnection();
    connection->deadline.start (connectTimeout);

    if (const auto [error] = co_await connection->stream.async_connect (endpoint, asTuple); error)
        co_return error == asio::error::connection_refused ? EndpointState::refuses : EndpointState::silent;

    if (closeTimeout == Duration::zero())
        co_return EndpointState::accepts;

    std::array<char, 1> byte {};
    connection->deadline.start (closeTimeout);
    const auto [error, size] = co_await connection->stream.async_read_some (asio::buffer (byte), asTuple);
    co_return error && ! connection->deadline.hasExpired() ? EndpointState::closes : EndpointState::accepts;
}

} // namespace snowrudder
