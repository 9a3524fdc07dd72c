#pragma once

#include "../concurrency/AsioNames.h"
#include "../concurrency/Watchdog.h"

#include "snowrudder_core/snowrudder_core.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace snowrudder
{

/** Bounds on one server's connections. */
struct ServerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint32_t bodyBytes = 8 * 1024 * 1024;
    /** For a kept connection that rests between requests. */
    Duration idleTimeout = 30s;
    /** From a header's first byte to its last. */
    Duration headerTimeout = 30s;
    Duration bodyTimeout = 30s;
    /** For one write to a caller that reads slowly. */
    Duration writeTimeout = 30s;
};

/** One request on one connection, and the means to answer it: once as a whole, or in pieces. */
class Exchange
{
public:
    Exchange (tcp::socket& callerSocket,
              Watchdog::Watch& socketWatch,
              HttpRequest receivedRequest,
              const ServerLimits& serverLimits)
        : stream (callerSocket), deadline (socketWatch), received (std::move (receivedRequest)),
          limits (serverLimits)
    {
    }

    [[nodiscard]] auto request() const -> const HttpRequest& { return received; }
    [[nodiscard]] auto request() -> HttpRequest& { return received; }

    /** @returns a header's value, or an empty text. */
    [[nodiscard]] auto header (std::string_view name) const -> std::string_view
    {
        return toView (received[toBeast (name)]);
    }

    /** @returns the target up to its '?'. */
    [[nodiscard]] auto path() const -> std::string_view;

    /** @returns a query parameter's value as written, or an empty text. */
    [[nodiscard]] auto query (std::string_view name) const -> std::string_view;

    /** Sends a whole answer. `Content-Length` and `Connection` are filled in. */
    auto respond (HttpResponse response) -> Task<std::error_code>;

    /** Sends a whole answer with a body of a type. */
    auto respond (http::status status, std::string_view contentType, std::string body)
        -> Task<std::error_code>;

    /** Starts an answer whose body follows in pieces. */
    auto beginStream (http::response<http::empty_body> header) -> Task<std::error_code>;

    /** Sends a piece of the body. It ends when the caller's socket took the bytes: back pressure. */
    auto writeBodyPart (std::string_view data) -> Task<std::error_code>;

    /** Ends the body. */
    auto endStream() -> Task<std::error_code>;

    [[nodiscard]] auto hasBegun() const -> bool { return begun; }
    [[nodiscard]] auto hasEnded() const -> bool { return ended; }

    /** @returns whether the connection can serve another request. */
    [[nodiscard]] auto isKeepAlive() const -> bool
    {
        return ended && ! closesAfterResponse && received.keep_alive();
    }

    /** Closes the connection after this answer. */
    auto closeAfterResponse() -> void { closesAfterResponse = true; }

    /** Watches the connection while an answer is being made.

        @param onDisconnect  called on the event loop once the caller has gone; never after stopWatching()
    */
    auto watchCaller (std::function<void()> onDisconnect) -> void;
    auto stopWatching() -> void;
    [[nodiscard]] auto hasCallerDisconnected() const -> bool { return watch && watch->disconnected; }

    [[nodiscard]] auto executor() -> asio::any_io_executor { return stream.get_executor(); }

private:
    struct Watch
    {
        bool active = true;
        bool disconnected = false;
    };

    tcp::socket& stream;
    Watchdog::Watch& deadline;
    HttpRequest received;
    const ServerLimits& limits;
    bool begun = false;
    bool ended = false;
    bool closesAfterResponse = false;
    bool chunked = true;
    std::shared_ptr<Watch> watch;
};

/** @returns the key of `Authorization: Bearer KEY`, or an empty text. */
auto bearerKey (const Exchange& exchange) -> std::string_view;

} // namespace snowrudder
