#include "AnswerRelay.h"

namespace snowrudder
{

namespace
{

constexpr auto keepAllHeaders = [] (std::string_view) { return false; };

auto relayWhole (Exchange& exchange, UpstreamCall& call, std::string body, const std::string& id)
    -> Task<void>
{
    HttpResponse response (static_cast<http::status> (call.status()), 11);
    copyEndToEndHeaders (call.header(), response, keepAllHeaders);

    // An answer to HEAD carries the upstream's Content-Length, since it has no body to measure.
    const auto length = call.header()[http::field::content_length];

    if (exchange.request().method() == http::verb::head && ! length.empty())
        response.set (http::field::content_length, length);

    if (! id.empty())
        response.set ("Snowrudder-Request-Id", id);

    response.reason (call.header().reason());
    response.body() = std::move (body);
    co_await exchange.respond (std::move (response));
}

} // namespace

auto readAhead (UpstreamCall& call, std::string& body, std::function<bool (std::size_t)> mayHold)
    -> Task<std::error_code>
{
    std::string piece;

    while (! call.isDone() && body.size() < readAheadBytes)
    {
        if (const auto error = co_await call.readSome (piece))
            co_return error;

        body += piece;

        if (! mayHold (body.size()))
            break;
    }

    co_return std::error_code();
}

auto relayedHead (const UpstreamCall& call) -> http::response<http::empty_body>
{
    http::response<http::empty_body> header (static_cast<http::status> (call.status()), 11);
    copyEndToEndHeaders (call.header(), header, keepAllHeaders);
    return header;
}

auto relayAnswer (Exchange& exchange, UpstreamCall& call, std::string body, const std::string& id)
    -> Task<void>
{
    if (call.isDone())
    {
        co_await relayWhole (exchange, call, std::move (body), id);
        co_return;
    }

    auto header = relayedHead (call);

    if (const auto length = call.contentLength())
        header.content_length (*length);

    if (! id.empty())
        header.set ("Snowrudder-Request-Id", id);

    if (co_await exchange.beginStream (std::move (header)))
        co_return;

    // Each piece is read only after the previous one was written: a slow caller applies back-pressure to the upstream.
    while (! body.empty() || ! call.isDone())
    {
        if (co_await exchange.writeBodyPart (body))
            co_return;

        // The part that was read ahead is larger than the others.
        body = {};
        static_cast<void> (exchange.holdResponse (0));

        if (call.isDone())
            break;

        if (co_await call.readSome (body))
            co_return;
    }

    co_await exchange.endStream();
}

} // namespace snowrudder
