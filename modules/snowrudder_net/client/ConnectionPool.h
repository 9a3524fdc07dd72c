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

/** A connection to an upstream, with its read buffer and its deadline. */
struct UpstreamConnection
{
    UpstreamConnection (const asio::any_io_executor& executor, Watchdog& watchdog)
        : stream (executor), deadline (watchdog, stream)
    {
        // Beast reads at most as many bytes as the buffer has capacity for. The initial capacity suits one small
        // message.
        buffer.reserve (readBytes);
        buffer.max_size (maxHeaderBytes + readBytes);
    }

    static constexpr auto readBytes = std::size_t { 4096 };

    /** The longest header of a response. The buffer holds no more than that and one read: parts of the framing of a body have
        no limit of their own.
    */
    static constexpr auto maxHeaderBytes = std::uint32_t { 64 * 1024 };

    tcp::socket stream;
    Watchdog::Watch deadline;
    beast::flat_buffer buffer;
    /** When the connection was made: the upstream's process is no younger. */
    TimePoint connectedAt {};
    TimePoint idleSince {};
    /** The connection isn't reused after it has been idle for this long. */
    Duration maxIdleTime {};
};

/** The idle connections of one event loop, by address. Used on that loop's thread only, without a lock. */
class ConnectionPool
{
public:
    explicit ConnectionPool (asio::any_io_executor loopExecutor)
        : executor (std::move (loopExecutor)), watchdog (executor)
    {
    }

    /** @returns an idle connection that the peer has not closed, or nullptr. Drops the unusable ones that it finds. */
    auto acquireIdle (const tcp::endpoint& endpoint, TimePoint now) -> std::unique_ptr<UpstreamConnection>;

    /** @returns a new connection, not yet connected. */
    [[nodiscard]] auto createConnection() -> std::unique_ptr<UpstreamConnection>
    {
        return std::make_unique<UpstreamConnection> (executor, watchdog);
    }

    /** Returns a connection for reuse. It is closed when the limit of idle connections to its address is reached. */
    auto returnToPool (const tcp::endpoint& endpoint,
                       std::unique_ptr<UpstreamConnection> connection,
                       TimePoint now) -> void;

    /** Sets how many idle connections are kept per address, 64 at most. Connections above the limit are closed when
        they are returned.
    */
    auto setMaxIdle (std::size_t connections) -> void { maxIdle = std::min (connections, maxIdlePerAddress); }

    /** Closes the idle connections to an address, as after a fault that may have silenced them. */
    auto closeIdle (const tcp::endpoint& endpoint) -> void { idle.erase (endpoint); }

    /** Closes the connections that have reached their maximum idle time. */
    auto closeExpired (TimePoint now) -> void;

private:
    static constexpr auto maxIdlePerAddress = std::size_t { 64 };

    asio::any_io_executor executor;
    Watchdog watchdog;
    std::size_t maxIdle = maxIdlePerAddress;
    std::map<tcp::endpoint, std::vector<std::unique_ptr<UpstreamConnection>>> idle;
};

} // namespace snowrudder
