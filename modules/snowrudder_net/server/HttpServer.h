#pragma once

#include "Exchange.h"
#include "LogBudget.h"
#include "RejectedInput.h"
#include "Rejection.h"

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <variant>

namespace snowrudder
{

/** Responds to one request. If it returns without having begun a response, the connection is closed. */
using ExchangeHandler = std::function<auto(Exchange&)->Task<void>>;

/** Makes the response to input that is not a valid request: malformed, late or oversized headers and bodies. */
using RejectionHandler = std::function<auto(const RejectedInput&)->Rejection>;

/** Accepts connections on one event loop and passes each request to the handler. Several servers, one per loop, may
    listen on the same address: the kernel distributes the connections among them (SO_REUSEPORT).
*/
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    HttpServer (asio::io_context& eventLoop,
                const ServerLimits& serverLimits,
                ExchangeHandler exchangeHandler,
                RejectionHandler rejectionHandler);

    /** Starts accepting connections.

        @returns an error when listening on the address fails
    */
    auto listen (const tcp::endpoint& endpoint) -> std::error_code;

    /** @returns the address that the server listens on, with the port that the system has assigned. */
    [[nodiscard]] auto localEndpoint() const -> tcp::endpoint;

    /** Stops accepting connections, after accepting those that are in the listen queue already. Closes idle
        connections now and the others after their current response. Must be called on the event loop.
    */
    auto drain() -> void;

    /** Replaces the limits for requests that are read from now on. Must be called on the event loop. */
    auto setLimits (const ServerLimits& changed) -> void { limits = changed; }

    /** Counts the requests that an exception or a broken invariant of theirs has ended. The counter must outlive the server. */
    auto countFaultsIn (Counter& counter) -> void { faults = &counter; }

    /** @returns the number of connections with a request in progress. */
    [[nodiscard]] auto busyConnections() const -> std::size_t { return busy.load(); }

private:
    /** The connection is closed; no response can be sent. */
    struct ConnectionClosed
    {
    };

    using ReadResult = std::variant<HttpRequest, RejectedInput, ConnectionClosed>;

    auto acceptLoop() -> Task<void>;
    auto serveConnection (tcp::socket socket) -> Task<void>;
    auto serveRequests (tcp::socket& stream) -> Task<void>;
    auto readRequest (tcp::socket& stream, beast::flat_buffer& buffer, Watchdog::Watch& deadline)
        -> Task<ReadResult>;
    auto reject (tcp::socket& stream, Watchdog::Watch& deadline, const RejectedInput& input) -> Task<void>;
    /** Runs the handler. Its exceptions end this exchange only. */
    auto handle (Exchange& exchange) -> Task<void>;
    /** Logs and counts a fault of ours that ends one exchange.

        @returns the response to it if none has begun
    */
    auto recordFault (const Exchange& exchange, std::string_view reason) -> HttpResponse;

    asio::io_context& loop;
    ServerLimits limits;
    ExchangeHandler handler;
    RejectionHandler rejection;
    tcp::acceptor acceptor;
    Watchdog watchdog;
    /** Connections that wait for their next request. */
    std::set<tcp::socket*> idleConnections;
    bool draining = false;
    std::atomic<std::size_t> busy { 0 };
    LogBudget rejectionLines;
    LogBudget faultLines;
    Counter* faults = nullptr;
};

} // namespace snowrudder
