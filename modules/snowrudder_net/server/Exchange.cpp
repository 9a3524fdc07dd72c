#include "Exchange.h"

#include "../concurrency/ResetConnection.h"

namespace snowrudder
{

namespace
{

constexpr auto serverName = std::string_view ("snowrudder");

/** Waits for the socket to become readable. For a caller that waits for its response, this means that it has
    disconnected, unless it has pipelined another request.
*/
template <typename Watch>
auto watchSocket (tcp::socket& socket, std::shared_ptr<Watch> watch, std::function<void()> onDisconnect)
    -> Task<void>
{
    const auto [error] = co_await socket.async_wait (tcp::socket::wait_read, asTuple);

    if (! watch->active || error == asio::error::operation_aborted)
        co_return;

    char byte = 0;
    const auto count = ::recv (socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const auto isPipelined = count > 0;

    if (isPipelined)
        co_return;

    watch->disconnected = true;
    onDisconnect();
}

} // namespace

auto Exchange::path() const -> std::string_view
{
    const auto target = toView (received.target());
    return target.substr (0, target.find ('?'));
}

auto Exchange::query (std::string_view name) const -> std::string_view
{
    const auto target = toView (received.target());
    const auto mark = target.find ('?');

    if (mark == std::string_view::npos)
        return {};

    auto rest = target.substr (mark + 1);

    while (! rest.empty())
    {
        const auto end = rest.find ('&');
        const auto part = rest.substr (0, end);
        const auto equals = part.find ('=');

        if (part.substr (0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : part.substr (equals + 1);

        rest = end == std::string_view::npos ? std::string_view() : rest.substr (end + 1);
    }

    return {};
}

auto Exchange::respond (HttpResponse response) -> Task<std::error_code>
{
    if (begun)
        co_return breakOff ("a request gets one response");

    begun = true;

    const auto keepAlive = received.keep_alive() && ! closesAfterResponse;
    response.version (received.version());
    response.set (http::field::server, toBeast (serverName));
    response.keep_alive (keepAlive);

    const auto isHead = received.method() == http::verb::head;
    const auto status = response.result_int();
    const auto mayHaveBody = status >= 200 && status != 204 && status != 304;

    if (! isHead && mayHaveBody)
        response.prepare_payload();
    else if (isHead && ! response.has_content_length())
        response.content_length (response.body().size());

    http::response_serializer<http::string_body> serializer (response);
    serializer.split (isHead);
    deadline.start (limits.writeTimeout);

    if (isHead)
    {
        const auto [error, bytes] = co_await http::async_write_header (stream, serializer, asTuple);
        ended = ! error;
        co_return error;
    }

    const auto [error, bytes] = co_await http::async_write (stream, serializer, asTuple);
    ended = ! error;
    co_return error;
}

auto Exchange::respond (http::status status, std::string_view contentType, std::string body)
    -> Task<std::error_code>
{
    HttpResponse response (status, received.version());
    response.set (http::field::content_type, toBeast (contentType));
    response.body() = std::move (body);
    return respond (std::move (response));
}

auto Exchange::beginStream (http::response<http::empty_body> header) -> Task<std::error_code>
{
    if (begun)
        co_return breakOff ("a request gets one response");

    begun = true;

    // HTTP/1.0 has no chunked encoding: the end of the connection marks the end of the body.
    chunked = received.version() >= 11 && ! header.has_content_length();
    endsWithConnection = ! chunked && ! header.has_content_length();

    if (received.version() < 11)
        closesAfterResponse = true;

    // The end of this process must not look like the end of the body.
    if (endsWithConnection)
        setResetAtClose (stream, true);

    header.version (received.version());
    header.set (http::field::server, toBeast (serverName));
    header.keep_alive (received.keep_alive() && ! closesAfterResponse);

    if (chunked)
        header.chunked (true);

    http::response_serializer<http::empty_body> serializer (header);
    deadline.start (limits.writeTimeout);
    const auto [error, bytes] = co_await http::async_write_header (stream, serializer, asTuple);
    co_return error;
}

auto Exchange::writeBodyPart (std::string_view data) -> Task<std::error_code>
{
    if (data.empty())
        co_return std::error_code();

    if (! begun || ended)
        co_return breakOff ("a body part belongs to an open response");

    deadline.start (limits.writeTimeout);
    const auto buffer = asio::const_buffer (data.data(), data.size());

    if (chunked)
    {
        const auto [error, bytes] = co_await asio::async_write (stream, http::make_chunk (buffer), asTuple);
        co_return error;
    }

    const auto [error, bytes] = co_await asio::async_write (stream, buffer, asTuple);
    co_return error;
}

auto Exchange::endStream() -> Task<std::error_code>
{
    if (! begun || ended)
        co_return breakOff ("a streamed response ends once");

    if (! chunked)
    {
        ended = true;

        if (endsWithConnection)
            setResetAtClose (stream, false);

        co_return std::error_code();
    }

    deadline.start (limits.writeTimeout);
    const auto [error, bytes] = co_await asio::async_write (stream, http::make_chunk_last(), asTuple);
    ended = ! error;
    co_return error;
}

auto Exchange::breakOff (std::string_view name) -> std::error_code
{
    invariant = name;
    return make_error_code (ErrorKind::internal);
}

auto Exchange::watchCaller (std::function<void()> onDisconnect) -> void
{
    watch = std::make_shared<Watch>();
    asio::co_spawn (executor(), watchSocket (stream, watch, std::move (onDisconnect)), asio::detached);
}

auto Exchange::stopWatching() -> void
{
    if (! watch || ! watch->active)
        return;

    watch->active = false;

    if (! watch->disconnected)
    {
        boost::system::error_code ignored;
        stream.cancel (ignored);
    }
}

auto bearerKey (const Exchange& exchange) -> std::string_view
{
    constexpr auto scheme = std::string_view ("bearer ");
    const auto header = exchange.header ("Authorization");

    if (header.size() <= scheme.size() ||
        ! beast::iequals (toBeast (header.substr (0, scheme.size())), toBeast (scheme)))
        return {};

    return header.substr (scheme.size());
}

} // namespace snowrudder
