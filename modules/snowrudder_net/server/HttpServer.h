#pragma once

#include "Exchange.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <variant>

namespace snowrudder
{

/** Answers one request. When it returns without an answer having begun, the connection is closed. */
using ExchangeHandler = std::function<auto(Exchange&)->Task<void>>;

/** Answers what never became a request: bad, late or oversized headers and bodies. */
using RejectionHandler = std::function<auto(ErrorKind)->HttpResponse>;

/** Accepts connections on one event loop and hands each request to the handler. Several servers, one a loop, may
    listen on the same address: the kernel spreads connections over them.
*/
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    HttpServer (asio::io_context& eventLoop,
                const ServerLimits& serverLimits,
                ExchangeHandler exchangeHandler,
                RejectionHandler rejectionHandler);

    /** Starts accepting.

        @returns an error when the address can't be listened on
    */
    auto listen (const tcp::endpoint& endpoint) -> std::error_code;

    /** @returns the address listened on, its port filled in. */
    [[nodiscard]] auto localEndpoint() const -> tcp::endpoint;

    /** Ends accepting once what already waits in the listen queue has been taken. Connections that rest between requests
        are closed, the others after the answer that they are making. Call on the event loop.
    */
    auto drain() -> void;

    /** Puts other bounds in force for requests that are read from now on. Call on the event loop. */
    auto setLimits (const ServerLimits& changed) -> void { limits = changed; }

    /** @returns connections whose request is being answered. */
    [[nodiscard]] auto busyConnections() const -> std::size_t { return busy.load(); }

private:
    /** The connection ended, and nobody is there to be told. */
    struct ConnectionClosed
    {
    };

    using ReadResult = std::variant<HttpRequest, ErrorKind, ConnectionClosed>;

    auto acceptLoop() -> Task<void>;
    auto serveConnection (tcp::socket socket) -> Task<void>;
    auto serveRequests (tcp::socket& stream) -> Task<void>;
    auto readRequest (tcp::socket& stream, beast::flat_buffer& buffer, Watchdog::Watch& deadline)
        -> Task<ReadResult>;
    auto reject (tcp::socket& stream, Watchdog::Watch& deadline, ErrorKind kind) -> Task<void>;

    asio::io_context& loop;
    ServerLimits limits;
    ExchangeHandler handler;
    RejectionHandler rejection;
    tcp::acceptor acceptor;
    Watchdog watchdog;
    /** Connections that rest between requests. */
    std::set<tcp::socket*> idleConnections;
    bool draining = false;
    std::atomic<std::size_t> busy { 0 };
};

} // namespace snowrudder
