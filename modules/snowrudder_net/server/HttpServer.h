#pragma once

#include "Exchange.h"
#include "LogBudget.h"
#include "RejectedInput.h"
#include "Rejection.h"
#include "RequestMemory.h"

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

/** @returns whose request it is by its header, such as a client account; empty if that isn't known. */
using CallerGroup = std::function<std::string (const http::fields&)>;

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

    /** Bounds what callers make this server hold together with others. Without it, the server has a bound of its own.

        @param requestMemory  used on the event loop's thread only
    */
    auto shareMemory (std::shared_ptr<RequestMemory> requestMemory) -> void
    {
        memory = std::move (requestMemory);
    }

    /** Sets how callers are told apart who may not take each other's share of the memory; by their addresses alone otherwise. */
    auto groupCallers (CallerGroup group) -> void { callerGroup = std::move (group); }

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
    using RequestParser = http::request_parser<http::string_body>;

    /** A caller's connection, and what it holds. */
    struct Connection
    {
        Connection (tcp::socket& socket, Watchdog& watchdog, RequestMemory& memory);

        tcp::socket& stream;
        Watchdog::Watch deadline;
        beast::flat_buffer buffer;
        RequestMemory::Share share;
        /** Of the request that is being read; 0 until its header is complete. */
        std::size_t headerBytes = 0;
        /** The group of callers whose account isn't known. */
        std::string address;
    };

    /** How far a part of a request was read. */
    struct ReadProgress
    {
        boost::system::error_code error;
        /** Whether it had to be given up because the memory for requests is full. */
        bool isMemoryFull = false;
        std::size_t bytes = 0;
    };

    auto acceptLoop() -> Task<void>;
    auto serveConnection (tcp::socket socket) -> Task<void>;
    auto serveRequests (tcp::socket& stream) -> Task<void>;
    auto readRequest (Connection& connection) -> Task<ReadResult>;
    /** Reads until the header, or the whole request, is complete. */
    auto readPart (Connection& connection, RequestParser& parser, bool isBody) -> Task<ReadProgress>;
    /** @returns whether the connection may hold what was read of its request. */
    static auto holdRequest (Connection& connection, const RequestParser& parser) -> bool;
    auto waitForRequest (Connection& connection) -> Task<bool>;
    /** @returns what becomes of a connection whose request couldn't be read. */
    auto failedRead (const Connection& connection, const RequestParser& parser, const ReadProgress& progress)
        -> ReadResult;
    /** @returns what is known of a request that was given up because the memory for requests is full. */
    auto outOfMemory (const Connection& connection, const RequestParser& parser) const -> RejectedInput;
    auto reject (Connection& connection, const RejectedInput& input) -> Task<void>;
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
    std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory> (requestMemoryBound (0));
    CallerGroup callerGroup;
};

} // namespace snowrudder
