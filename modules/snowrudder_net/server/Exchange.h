#pragma once

#include "../concurrency/AsioNames.h"
#include "../concurrency/Watchdog.h"
#include "RequestMemory.h"

#include "snowrudder_core/snowrudder_core.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace snowrudder
{

/** Limits for the connections of a server. */
struct ServerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint32_t bodyBytes = 8 * 1024 * 1024;
    /** For a keep-alive connection that is idle between requests. */
    Duration idleTimeout = 30s;
    /** From the first byte of a header to its last. */
    Duration headerTimeout = 30s;
    Duration bodyTimeout = 30s;
    /** For one write to a caller that reads slowly. */
    Duration writeTimeout = 30s;
};

/** One request on one connection, and the functions that respond to it, once: with a whole response or a streamed one.
*/
class Exchange
{
public:
    /** @param requestMemory  holds the request's bytes already */
    Exchange (tcp::socket& callerSocket,
              Watchdog::Watch& socketWatch,
              RequestMemory::Share& requestMemory,
              HttpRequest receivedRequest,
              const ServerLimits& serverLimits)
        : stream (callerSocket), deadline (socketWatch), memory (requestMemory),
          requestBytes (requestMemory.bytes()), received (std::move (receivedRequest)), limits (serverLimits)
    {
    }

    [[nodiscard]] auto request() const -> const HttpRequest& { return received; }
    [[nodiscard]] auto request() -> HttpRequest& { return received; }

    /** @returns the value of a request header, or an empty string. */
    [[nodiscard]] auto header (std::string_view name) const -> std::string_view
    {
        return toView (received[toBeast (name)]);
    }

    /** @returns the request target up to its '?'. */
    [[nodiscard]] auto path() const -> std::string_view;

    /** @returns the value of a query parameter, not decoded, or an empty string. */
    [[nodiscard]] auto query (std::string_view name) const -> std::string_view;

    /** Sends a whole response. Sets `Server`, `Connection` and, where a body is allowed, `Content-Length`.

        @returns ErrorKind::internal if a response has begun already; see brokenInvariant()
    */
    auto respond (HttpResponse response) -> Task<std::error_code>;

    /** Sends a whole response with a body of the given content type. */
    auto respond (http::status status, std::string_view contentType, std::string body)
        -> Task<std::error_code>;

    /** Sends the header of a response whose body follows by writeBodyPart().

        @returns ErrorKind::internal if a response has begun already; see brokenInvariant()
    */
    auto beginStream (http::response<http::empty_body> header) -> Task<std::error_code>;

    /** Sends a part of the body. Completes when the socket has accepted the bytes, which applies back pressure.

        @returns ErrorKind::internal if no response is open; see brokenInvariant()
    */
    auto writeBodyPart (std::string_view data) -> Task<std::error_code>;

    /** Ends the body of a streamed response.

        @returns ErrorKind::internal if none is open; see brokenInvariant()
    */
    auto endStream() -> Task<std::error_code>;

    [[nodiscard]] auto hasBegun() const -> bool { return begun; }
    [[nodiscard]] auto hasEnded() const -> bool { return ended; }

    /** @returns whether only a reset of the connection shows the caller that the response is incomplete: its body ends
        with the connection.
    */
    [[nodiscard]] auto mustReset() const -> bool
    {
        return begun && ! ended && (endsWithConnection || ! invariant.empty());
    }

    /** @returns the invariant that this exchange has broken, for the log; empty if none. Nothing more is sent then, and the
        connection is closed: the fault of one request is no reason to end the others of the process.
    */
    [[nodiscard]] auto brokenInvariant() const -> std::string_view { return invariant; }

    /** @returns whether the connection can serve another request. */
    [[nodiscard]] auto isKeepAlive() const -> bool
    {
        return ended && invariant.empty() && ! closesAfterResponse && received.keep_alive();
    }

    /** Accounts for bytes of the response that wait for the caller.

        @returns whether so many may be held beside the request; otherwise no more should be read ahead
    */
    [[nodiscard]] auto holdResponse (std::size_t bytes) -> bool
    {
        return memory.tryHold (requestBytes + bytes);
    }

    /** Closes the connection after this response. */
    auto closeAfterResponse() -> void { closesAfterResponse = true; }

    /** Ends the exchange where an invariant is broken.

        @param name  the invariant's name, for the log; must outlive the exchange
        @returns     ErrorKind::internal
    */
    auto breakOff (std::string_view name) -> std::error_code;

    /** Watches the connection for a disconnect while the response is being prepared.

        @param onDisconnect  called on the event loop when the caller has disconnected; never after stopWatching()
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
    RequestMemory::Share& memory;
    std::size_t requestBytes;
    HttpRequest received;
    const ServerLimits& limits;
    bool begun = false;
    bool ended = false;
    bool closesAfterResponse = false;
    bool chunked = true;
    bool endsWithConnection = false;
    std::string_view invariant;
    std::shared_ptr<Watch> watch;
};

/** @returns the key from `Authorization: Bearer KEY`, or an empty string. */
auto bearerKey (const Exchange& exchange) -> std::string_view;

} // namespace snowrudder
