#include "UpstreamCall.h"

#include "../concurrency/ResetConnection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace snowrudder
{

namespace
{

/** Number of interim responses (1xx) that may come before a response. */
constexpr auto maxInterimResponses = 16;

/** How long after the end of a call bytes are still read that have been received already. */
constexpr auto lateReadTime = Duration (1s);

/** The maximum idle time, also where an upstream doesn't state its keep-alive timeout. Short, so that the upstream is
    unlikely to close the connection first.
*/
constexpr auto defaultMaxIdleTime = Duration (10s);

/** @returns how long a connection may be idle: four fifths of the upstream's `Keep-Alive: timeout=N` (RFC 2068,
    19.7.1), so that the upstream doesn't close it while a request is in transit.
*/
auto maxIdleTimeFrom (std::string_view header) -> Duration
{
    constexpr auto parameter = std::string_view ("timeout=");
    const auto position = header.find (parameter);

    if (position == std::string_view::npos)
        return defaultMaxIdleTime;

    auto whole = std::uint32_t { 0 };
    const auto text = header.substr (position + parameter.size());
    const auto [end, error] = std::from_chars (text.data(), text.data() + text.size(), whole);

    if (error != std::errc())
        return defaultMaxIdleTime;

    return std::min<Duration> (std::chrono::milliseconds (whole * std::int64_t { 800 }), defaultMaxIdleTime);
}

/** @returns whether a status is one of an answer. No other is passed on, nor taken for an interim response; a change of
    protocols was never asked for.
*/
auto isKnownStatus (unsigned status) -> bool
{
    constexpr auto switchingProtocols = 101U;
    constexpr auto firstStatus = 100U;
    constexpr auto lastStatus = 599U;
    return status >= firstStatus && status <= lastStatus && status != switchingProtocols;
}

template <typename Parser>
auto framingOf (const Parser& parser) -> BodyFraming
{
    if (parser.need_eof())
        return BodyFraming::endOfConnection;

    return parser.chunked() ? BodyFraming::chunks : BodyFraming::length;
}

auto isEventStream (const http::response_header<>& header) -> bool
{
    const auto type = toView (header[http::field::content_type]);
    return beast::iequals (toBeast (type.substr (0, type.find_first_of ("; \t"))), "text/event-stream");
}

} // namespace

UpstreamCall::~UpstreamCall()
{
    if (! reusable || connection->buffer.size() > 0)
        return;

    // Nothing is under way on an idle connection.
    if (hasBoundedDelivery)
        setResetAtClose (connection->stream, false);

    connection->maxIdleTime = maxIdleTimeFrom (toView (parser->get()["Keep-Alive"]));
    pool.returnToPool (endpoint, std::move (connection), BootClock::now());
}

auto UpstreamCall::connect (bool mayReuse) -> Task<std::error_code>
{
    if (cancelled)
        co_return make_error_code (std::errc::operation_canceled);

    if (mayReuse)
        connection = pool.acquireIdle (endpoint, BootClock::now());

    isReused = connection != nullptr;

    if (isReused)
        co_return boundDelivery();

    connection = pool.createConnection();
    startDeadline (timeouts.connect);
    const auto [error] = co_await connection->stream.async_connect (endpoint, asTuple);

    if (! error)
    {
        boost::system::error_code ignored;
        connection->stream.set_option (tcp::no_delay (true), ignored);
        connection->connectedAt = BootClock::now();
        co_return boundDelivery();
    }

    co_return callerError (error);
}

auto UpstreamCall::boundDelivery() -> std::error_code
{
    if (! hasBoundedDelivery)
        return {};

    const auto isBounded = setResetAtClose (connection->stream, true) &&
                           setDeliveryLimit (connection->stream, timeouts.end - BootClock::now());
    return isBounded ? std::error_code() : std::make_error_code (std::errc::no_protocol_option);
}

auto UpstreamCall::connectThrough (tcp::endpoint relay, HttpRequest request, Duration timeout)
    -> Task<unsigned>
{
    constexpr auto noResponse = 0U;

    if (cancelled)
        co_return noResponse;

    isRelayed = true;
    connection = pool.createConnection();
    startDeadline (timeouts.connect);

    if (const auto [error] = co_await connection->stream.async_connect (relay, asTuple); error)
        co_return noResponse;

    boost::system::error_code ignored;
    connection->stream.set_option (tcp::no_delay (true), ignored);
    startDeadline (timeout);

    if (const auto [error, bytes] = co_await http::async_write (connection->stream, request, asTuple); error)
        co_return noResponse;

    http::response_parser<http::empty_body> response;
    response.skip (true);
    const auto [error, bytes] =
        co_await http::async_read_header (connection->stream, connection->buffer, response, asTuple);
    connection->connectedAt = BootClock::now();
    hasMarkedEnd = toView (response.get()[relayEndField]) == relayEndIsReset;
    co_return error || cancelled ? noResponse : response.get().result_int();
}

auto UpstreamCall::send (const HttpRequest& request) -> Task<std::error_code>
{
    if (cancelled)
        co_return make_error_code (std::errc::operation_canceled);

    // The process may have been frozen since the connection was made.
    if (BootClock::now() >= timeouts.end)
        co_return std::make_error_code (std::errc::timed_out);

    startDeadline (timeouts.firstByte);
    currentStage = CallStage::sending;
    const auto [error, bytes] = co_await http::async_write (connection->stream, request, asTuple);

    if (! error)
        currentStage = CallStage::sent;
    else if (bytes == 0)
        currentStage = CallStage::notSent;

    co_return callerError (error);
}

auto UpstreamCall::readHeader() -> Task<std::error_code>
{
    startDeadline (timeouts.firstByte);
    auto interimResponses = 0;

    for (auto isInterim = true; isInterim;)
    {
        if (cancelled)
            co_return make_error_code (std::errc::operation_canceled);

        if (interimResponses++ > maxInterimResponses)
            co_return callerError (http::error::bad_status);

        parser.emplace();
        parser->header_limit (UpstreamConnection::maxHeaderBytes);
        parser->body_limit (std::numeric_limits<std::uint64_t>::max());
        parser->skip (isHeadRequest);

        const auto [error, bytes] =
            co_await http::async_read_header (connection->stream, connection->buffer, *parser, asTuple);

        if (error)
            co_return callerError (error);

        const auto status = parser->get().result_int();

        if (! isKnownStatus (status))
            co_return callerError (http::error::bad_status);

        isInterim = status < 200;
    }

    currentStage = CallStage::receiving;
    bodyEnd = { framingOf (*parser), isEventStream (parser->get()), ! isRelayed || hasMarkedEnd };

    if (parser->is_done())
        finish();

    co_return std::error_code();
}

auto UpstreamCall::sendAndReadHeader (const HttpRequest& request) -> Task<std::error_code>
{
    if (const auto error = co_await send (request))
        co_return error;

    co_return co_await readHeader();
}

auto UpstreamCall::readSome (std::string& bytes) -> Task<std::error_code>
{
    bytes.clear();

    while (bytes.empty() && ! isDone())
    {
        if (cancelled)
            co_return make_error_code (std::errc::operation_canceled);

        if (parser->is_done())
            co_return callerError (http::error::partial_message);

        // The deadline cancels a read that waits. An upstream that never stops sending leaves none waiting.
        if (BootClock::now() - lateReadTime >= timeouts.end)
            co_return std::make_error_code (std::errc::timed_out);

        auto& body = parser->get().body();
        body.data = bodyBuffer.data();
        body.size = bodyBuffer.size();
        body.more = true;

        startDeadline (timeouts.idle);
        const auto [readError, count] =
            co_await http::async_read_some (connection->stream, connection->buffer, *parser, asTuple);
        const auto error = parseBuffered (readError);
        bytes.assign (bodyBuffer.data(), bodyBuffer.size() - body.size);

        if (error)
            co_return callerError (error);

        if (bodyEnd.isEventStream)
            addToTail (bodyEnd, bytes);

        if (parser->is_done())
            finish();
    }

    co_return std::error_code();
}

auto UpstreamCall::parseBuffered (boost::system::error_code error) -> boost::system::error_code
{
    auto& buffer = connection->buffer;

    // One read consumes one chunk only. Parse the further chunks that have been received with it.
    while (! error && ! parser->is_done() && buffer.size() > 0 && parser->get().body().size > 0)
    {
        buffer.consume (parser->put (buffer.data(), error));

        if (error == http::error::need_more)
            return {};
    }

    return error == http::error::need_buffer ? boost::system::error_code() : error;
}

auto UpstreamCall::readRest (std::string& body, std::size_t limit) -> Task<std::error_code>
{
    std::string part;

    while (! isDone())
    {
        const auto error = co_await readSome (part);

        if (error)
            co_return error;

        body += part;

        if (body.size() > limit)
            co_return make_error_code (ErrorKind::bodyTooLarge);
    }

    co_return std::error_code();
}

auto UpstreamCall::startDeadline (Duration wait) -> void
{
    const auto left = timeouts.end - BootClock::now();
    connection->deadline.start (std::clamp<Duration> (left, 0ms, wait));
}

auto UpstreamCall::callerError (boost::system::error_code error) const -> std::error_code
{
    if (error && connection->deadline.hasExpired())
        return std::make_error_code (std::errc::timed_out);

    return error;
}

auto UpstreamCall::cancel() -> void
{
    cancelled = true;

    boost::system::error_code ignored;

    if (connection)
        connection->stream.cancel (ignored);
}

auto UpstreamCall::contentLength() const -> std::optional<std::uint64_t>
{
    const auto length = parser->content_length();
    return length ? std::optional<std::uint64_t> (*length) : std::nullopt;
}

auto UpstreamCall::finish() -> void
{
    if (! isWhole (bodyEnd))
        return;

    currentStage = CallStage::finished;

    reusable = parser->get().keep_alive() && ! parser->need_eof() && ! isRelayed;
}

} // namespace snowrudder
