#include "HttpServer.h"

#include "../concurrency/ResetConnection.h"
#include "ReadErrors.h"

#include <algorithm>
#include <charconv>
#include <sys/socket.h>
#include <utility>

namespace snowrudder
{

namespace
{

/** The most bytes that are read ahead of what the parser has taken, beside a header. */
constexpr auto maxReadAheadBytes = std::size_t { 16 } * 1024;

/** The size of a read of a header. Most requests are smaller. */
constexpr auto headReadBytes = std::size_t { 2048 };

/** The size of a read of a body. */
constexpr auto bodyReadBytes = std::size_t { 16 } * 1024;

/** The largest read buffer that a connection keeps between requests. */
constexpr auto keptBufferBytes = std::size_t { 4096 };

/** What a connection takes beside its buffer and its request. */
constexpr auto connectionBytes = std::size_t { 4096 };

/** How often the fields of a header are held: as received, and as passed on. */
constexpr auto headerCopies = std::size_t { 3 };

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr auto handlerEnds = std::string_view ("a handler ends without an exception");

/** @returns the length of the body that a header states, which the parser may have rejected; nothing if there is none. */
auto statedLength (const http::fields& fields) -> std::optional<std::uint64_t>
{
    const auto text = toView (fields[http::field::content_length]);
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars (text.data(), text.data() + text.size(), length);
    const auto isNumber = ! text.empty() && error == std::errc() && end == text.data() + text.size();
    return isNumber ? std::optional (length) : std::nullopt;
}

/** @returns what is known of a request that could not be read.

    @param received  the bytes of it that were read
*/
auto rejectedInput (ErrorKind kind,
                    boost::system::error_code error,
                    std::size_t received,
                    const http::request_parser<http::string_body>& parser,
                    const ServerLimits& limits) -> RejectedInput
{
    RejectedInput input;
    input.kind = kind;
    input.reason = error.message();
    input.fields = parser.get();

    if (kind == ErrorKind::headerTooLarge)
        input.limit = limits.headerBytes;
    else if (kind == ErrorKind::bodyTooLarge)
        input.limit = limits.bodyBytes;

    input.bytes = received;

    if (kind == ErrorKind::bodyTooLarge)
        input.bytes = statedLength (input.fields).value_or (received);

    return input;
}

/** Logs a connection that was lost, or closed by the caller, before its request was whole. */
auto logCut (LogBudget& budget, boost::system::error_code error, std::size_t bytes) -> void
{
    if (! budget.take (BootClock::now()))
        return;

    LogLine ("request_cut")
        .with ("reason", error.message())
        .with ("bytes", bytes)
        .with ("left_out", std::exchange (budget.leftOut, 0))
        .info();
}

} // namespace

HttpServer::Connection::Connection (tcp::socket& socket, Watchdog& watchdog, RequestMemory& memory)
    : stream (socket), deadline (watchdog, socket), share (memory,
                                                           [&socket]
                                                           {
                                                               boost::system::error_code ignored;
                                                               socket.cancel (ignored);
                                                           })
{
    boost::system::error_code ignored;
    address = "address " + socket.remote_endpoint (ignored).address().to_string();
}

HttpServer::HttpServer (asio::io_context& eventLoop,
                        const ServerLimits& serverLimits,
                        ExchangeHandler exchangeHandler,
                        RejectionHandler rejectionHandler)
    : loop (eventLoop), limits (serverLimits), handler (std::move (exchangeHandler)),
      rejection (std::move (rejectionHandler)), acceptor (eventLoop), watchdog (eventLoop.get_executor())
{
}

auto HttpServer::listen (const tcp::endpoint& endpoint) -> std::error_code
{
    boost::system::error_code error;
    acceptor.open (endpoint.protocol(), error);

    if (! error)
        acceptor.set_option (tcp::acceptor::reuse_address (true), error);

    if (! error)
        acceptor.set_option (ReusePort (true), error);

    if (! error)
        acceptor.bind (endpoint, error);

    if (! error)
        acceptor.listen (asio::socket_base::max_listen_connections, error);

    if (! error)
        asio::co_spawn (
            loop, [self = shared_from_this()] { return self->acceptLoop(); }, asio::detached);

    return error;
}

auto HttpServer::localEndpoint() const -> tcp::endpoint
{
    boost::system::error_code error;
    return acceptor.local_endpoint (error);
}

auto HttpServer::drain() -> void
{
    if (draining)
        return;

    draining = true;

    // Closing the listening socket resets the connections in its queue, so they are accepted first.
    boost::system::error_code error;
    acceptor.non_blocking (true, error);

    for (;;)
    {
        auto socket = acceptor.accept (loop, error);

        if (error)
            break;

        asio::co_spawn (
            loop,
            [self = shared_from_this(), accepted = std::move (socket)]() mutable
            { return self->serveConnection (std::move (accepted)); },
            asio::detached);
    }

    acceptor.close (error);

    for (auto* connection : idleConnections)
        connection->cancel (error);
}

auto HttpServer::acceptLoop() -> Task<void>
{
    const auto self = shared_from_this();

    while (! draining)
    {
        auto [error, socket] = co_await acceptor.async_accept (asTuple);

        if (error == asio::error::operation_aborted || ! acceptor.is_open())
            break;

        if (error)
        {
            // Most likely out of file descriptors: wait for some to be closed instead of spinning.
            BootTimer pause (loop, 10ms);
            co_await pause.async_wait (asTuple);
            continue;
        }

        asio::co_spawn (loop, serveConnection (std::move (socket)), asio::detached);
    }
}

auto HttpServer::serveConnection (tcp::socket socket) -> Task<void>
{
    const auto self = shared_from_this();
    boost::system::error_code error;
    socket.set_option (tcp::no_delay (true), error);

    co_await serveRequests (socket);
    socket.shutdown (tcp::socket::shutdown_send, error);

    if (memory->takeFreedMuch())
        returnFreedMemory();
}

auto HttpServer::serveRequests (tcp::socket& stream) -> Task<void>
{
    const auto sharedMemory = memory;
    Connection connection (stream, watchdog, *sharedMemory);

    for (auto isFirst = true; isFirst || ! draining; isFirst = false)
    {
        auto received = co_await readRequest (connection);
        connection.deadline.stop();

        if (const auto* input = std::get_if<RejectedInput> (&received))
        {
            co_await reject (connection, *input);
            co_return;
        }

        if (std::holds_alternative<ConnectionClosed> (received))
            co_return;

        Exchange exchange (stream, connection.deadline, connection.share,
                           std::get<HttpRequest> (std::move (received)), limits);

        if (draining)
            exchange.closeAfterResponse();

        busy.fetch_add (1);
        co_await handle (exchange);
        exchange.stopWatching();
        busy.fetch_sub (1);

        if (exchange.mustReset())
            resetConnection (stream);

        if (! exchange.isKeepAlive())
            co_return;
    }
}

auto HttpServer::handle (Exchange& exchange) -> Task<void>
{
    std::optional<std::string> exception;

    try
    {
        co_await handler (exchange);
    }
    catch (const std::exception& error)
    {
        exception = error.what();
    }

    if (exception)
    {
        exchange.closeAfterResponse();
        auto response = recordFault (exchange, *exception);

        if (exchange.hasBegun())
            exchange.breakOff (handlerEnds);
        else
            co_await exchange.respond (std::move (response));
    }
    else if (! exchange.brokenInvariant().empty())
        recordFault (exchange, exchange.brokenInvariant());
}

auto HttpServer::recordFault (const Exchange& exchange, std::string_view reason) -> HttpResponse
{
    RejectedInput input;
    input.kind = ErrorKind::internal;
    input.reason = reason;
    input.fields = exchange.request();
    auto [response, requestId] = rejection (input);

    if (faults != nullptr)
        faults->add();

    if (faultLines.take (BootClock::now()))
        LogLine ("request_broken_off")
            .with ("request", requestId)
            .with ("method", toView (exchange.request().method_string()))
            .with ("reason", reason)
            .with ("answer_begun", exchange.hasBegun() ? "yes" : "no")
            .with ("left_out", std::exchange (faultLines.leftOut, 0))
            .error();

    return std::move (response);
}

auto HttpServer::waitForRequest (Connection& connection) -> Task<bool>
{
    auto& buffer = connection.buffer;

    if (buffer.capacity() > keptBufferBytes)
        buffer.shrink_to_fit();

    connection.share.end (connectionBytes + buffer.capacity());

    if (memory->takeFreedMuch())
        returnFreedMemory();

    connection.deadline.start (limits.idleTimeout);
    idleConnections.insert (&connection.stream);
    const auto [error] = co_await connection.stream.async_wait (tcp::socket::wait_read, asTuple);

    idleConnections.erase (&connection.stream);
    co_return ! error;
}

auto HttpServer::readPart (Connection& connection, RequestParser& parser, bool isBody) -> Task<ReadProgress>
{
    auto& buffer = connection.buffer;
    ReadProgress progress;
    parser.eager (isBody);

    while (! (isBody ? parser.is_done() : parser.is_header_done()))
    {
        if (buffer.size() > 0)
        {
            boost::system::error_code error;
            const auto taken = parser.put (buffer.data(), error);
            buffer.consume (taken);
            progress.bytes += taken;

            if (! error && taken > 0)
                continue;

            if (error && error != http::error::need_more)
            {
                progress.error = error;
                break;
            }
        }

        const auto room = buffer.max_size() - buffer.size();
        const auto readBytes = std::min (room, isBody ? bodyReadBytes : headReadBytes);

        // An eviction cancels what the connection waits for only.
        if (connection.share.isEvicted())
        {
            progress.isMemoryFull = true;
            break;
        }

        // So does the deadline.
        if (room == 0 || connection.deadline.hasExpired())
        {
            progress.error = room == 0 ? boost::system::error_code (http::error::buffer_overflow)
                                       : boost::system::error_code (asio::error::timed_out);
            break;
        }

        const auto [error, count] =
            co_await connection.stream.async_read_some (buffer.prepare (readBytes), asTuple);
        buffer.commit (count);

        if (! holdRequest (connection, parser))
        {
            progress.isMemoryFull = true;
            break;
        }

        if (error == asio::error::eof && parser.got_some())
        {
            boost::system::error_code early;
            parser.put_eof (early);
            progress.error = early ? early : boost::system::error_code (http::error::partial_message);
            break;
        }

        if (error)
        {
            progress.error =
                error == asio::error::eof ? boost::system::error_code (http::error::end_of_stream) : error;
            break;
        }
    }

    co_return progress;
}

auto HttpServer::holdRequest (Connection& connection, const RequestParser& parser) -> bool
{
    const auto bytes = connectionBytes + connection.buffer.capacity() +
                       headerCopies * connection.headerBytes + parser.get().body().size();
    return connection.share.hold (bytes, BootClock::now());
}

auto HttpServer::readRequest (Connection& connection) -> Task<ReadResult>
{
    auto& buffer = connection.buffer;
    auto& deadline = connection.deadline;

    connection.headerBytes = 0;

    if (buffer.size() > 0)
        connection.share.end (connectionBytes + buffer.capacity());
    else if (! co_await waitForRequest (connection))
        co_return ConnectionClosed {};

    connection.share.begin (connection.address, BootClock::now());

    // The limits may have changed while the connection waited.
    RequestParser parser;
    // Parts of the framing of a body have no limit of their own.
    buffer.max_size (std::max (buffer.size(), limits.headerBytes + maxReadAheadBytes));
    parser.header_limit (limits.headerBytes);
    parser.body_limit (limits.bodyBytes);
    deadline.start (limits.headerTimeout);

    const auto head = co_await readPart (connection, parser, false);

    if (head.error || head.isMemoryFull)
        co_return failedRead (connection, parser, head);

    connection.headerBytes = head.bytes;

    if (callerGroup)
        if (const auto group = callerGroup (parser.get()); ! group.empty())
            connection.share.setGroup (group);

    if (beast::iequals (parser.get()[http::field::expect], "100-continue"))
    {
        http::response<http::empty_body> proceed (http::status::continue_, parser.get().version());
        co_await http::async_write (connection.stream, proceed, asTuple);
    }

    deadline.start (limits.bodyTimeout);
    const auto body = co_await readPart (connection, parser, true);

    if (body.error || body.isMemoryFull)
        co_return failedRead (connection, parser, body);

    // The message to the upstream can't be made of it, and no caller has a reason to send one (RFC 9110, 9.3.8).
    if (parser.get().method() == http::verb::trace && ! parser.get().body().empty())
        co_return rejectedInput (ErrorKind::invalidRequest, http::error::unexpected_body,
                                 head.bytes + body.bytes, parser, limits);

    // What came with the last read, or with the header.
    if (! holdRequest (connection, parser))
        co_return outOfMemory (connection, parser);

    connection.share.complete();
    co_return parser.release();
}

auto HttpServer::failedRead (const Connection& connection,
                             const RequestParser& parser,
                             const ReadProgress& progress) -> ReadResult
{
    if (progress.isMemoryFull)
        return outOfMemory (connection, parser);

    // On timeout, a connection without any byte of a request is closed silently; an incomplete one gets an error.
    if (connection.deadline.hasExpired() && parser.got_some())
        return rejectedInput (ErrorKind::callerTimeout, progress.error, progress.bytes, parser, limits);

    if (const auto kind = errorKindOf (progress.error))
        return rejectedInput (*kind, progress.error, progress.bytes, parser, limits);

    if (parser.got_some())
        logCut (rejectionLines, progress.error, connection.headerBytes + progress.bytes);

    return ConnectionClosed {};
}

auto HttpServer::outOfMemory (const Connection& connection, const RequestParser& parser) const
    -> RejectedInput
{
    RejectedInput input;
    input.kind = ErrorKind::memoryFull;
    input.reason = connection.share.isEvicted() ? "made room for others" : "no room";
    input.bytes = connection.headerBytes + parser.get().body().size();
    input.limit = memory->maxBytes();
    input.fields = parser.get();
    return input;
}

auto HttpServer::reject (Connection& connection, const RejectedInput& input) -> Task<void>
{
    auto& stream = connection.stream;
    auto& deadline = connection.deadline;
    auto [response, requestId] = rejection (input);
    connection.buffer = {};
    connection.share.end (connectionBytes);

    if (rejectionLines.take (BootClock::now()))
        LogLine ("input_rejected")
            .with ("request", requestId)
            .with ("kind", toString (input.kind))
            .with ("status", response.result_int())
            .with ("reason", input.reason)
            .with ("bytes", input.bytes)
            .with ("limit", input.limit)
            .with ("left_out", std::exchange (rejectionLines.leftOut, 0))
            .info();

    response.version (11);
    response.keep_alive (false);
    response.prepare_payload();

    deadline.start (limits.writeTimeout);
    co_await http::async_write (stream, response, asTuple);

    // The caller may still be sending: closing now would reset the connection before it has read the response.
    boost::system::error_code ignored;
    stream.shutdown (tcp::socket::shutdown_send, ignored);
    deadline.start (1s);
    std::array<char, 4096> discarded;

    // The deadline cancels a read that waits. A caller that never stops sending leaves none waiting.
    while (! deadline.hasExpired())
    {
        const auto [error, count] = co_await stream.async_read_some (asio::buffer (discarded), asTuple);

        if (error)
            break;
    }
}

} // namespace snowrudder
