#pragma once

#include "../concurrency/AsioNames.h"
#include "../concurrency/Watchdog.h"

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace snowrudder
{

/** One connection to an upstream. */
struct UpstreamConnection
{
    UpstreamConnection (const asio::any_io_executor& executor, Watchdog& watchdog)
        : stream (executor), deadline (watchdog, stream)
    {
        // Beast reads as much as the buffer has room for, and starts with room for one small message.
        buffer.reserve (readBytes);
    }

    static constexpr auto readBytes = std::size_t { 4096 };

    tcp::socket stream;
    Watchdog::Watch deadline;
    beast::flat_buffer buffer;
    TimePoint idleSince {};
    /** How long it may rest before it is used again. */
    Duration maxIdleTime {};
};

/** Idle connections of one event loop, by address. Belongs to its loop's thread; needs no lock. */
class ConnectionPool
{
public:
    explicit ConnectionPool (asio::any_io_executor loopExecutor)
        : executor (std::move (loopExecutor)), watchdog (executor)
    {
    }

    /** @returns an idle connection that the peer has not closed, or nullptr. */
    auto acquireIdle (const tcp::endpoint& endpoint, TimePoint now) -> std::unique_ptr<UpstreamConnection>;

    /** @returns a connection that is not yet connected. */
    [[nodiscard]] auto createConnection() -> std::unique_ptr<UpstreamConnection>
    {
        return std::make_unique<UpstreamConnection> (executor, watchdog);
    }

    /** Keeps a connection for reuse. */
    auto returnToPool (const tcp::endpoint& endpoint,
                       std::unique_ptr<UpstreamConnection> connection,
                       TimePoint now) -> void;

    /** Sets how many idle connections to one address are kept; what is over is closed as it comes back. */
    auto setMaxIdle (std::size_t connections) -> void { maxIdle = std::min (connections, maxIdlePerAddress); }

    /** Closes idle connections that have rested too long. */
    auto closeExpired (TimePoint now) -> void;

private:
    static constexpr auto maxIdlePerAddress = std::size_t { 64 };

    asio::any_io_executor executor;
    Watchdog watchdog;
    std::size_t maxIdle = maxIdlePerAddress;
    std::map<tcp::endpoint, std::vector<std::unique_ptr<UpstreamConnection>>> idle;
};

} // namespace snowrudder
