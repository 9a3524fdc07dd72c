#pragma once

#include "BodyEnd.h"
#include "CallStage.h"
#include "ConnectionPool.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace snowrudder
{

/** Time limits of a call. */
struct CallTimeouts
{
    Duration connect = 1s;
    Duration firstByte = 60s;
    Duration idle = 30s;
    /** Deadline of the whole call, which shortens the limits above. */
    TimePoint end = TimePoint::max();
};

/** In the response of a node that relays a connection: how the connection ends if that node does. */
inline constexpr auto relayEndField = "Snowrudder-Relay-End";

/** Any end but the upstream's own close is a reset. */
inline constexpr auto relayEndIsReset = std::string_view ("reset");

/** One call to an upstream, made step by step. The destructor returns the connection to the pool when the whole
    response was read and the upstream keeps the connection open, and closes it otherwise.
*/
class UpstreamCall
{
public:
    UpstreamCall (ConnectionPool& connectionPool,
                  const tcp::endpoint& upstream,
                  const CallTimeouts& callTimeouts)
        : pool (connectionPool), endpoint (upstream), timeouts (callTimeouts)
    {
    }

    ~UpstreamCall();

    UpstreamCall (const UpstreamCall&) = delete;
    auto operator= (const UpstreamCall&) -> UpstreamCall& = delete;

    /** Takes an idle connection from the pool, or connects.

        @param mayReuse  false for calls that must not be repeated: the upstream may close a reused connection while the
                         request is in transit, which leaves open whether it ran
    */
    auto connect (bool mayReuse) -> Task<std::error_code>;

    /** Connects to the upstream through another node, which relays the bytes of the connection in both directions. Unless that
        node states that it resets the connection when it ends itself, a body that ends with the connection isn't whole.

        @param relay    address of that node
        @param request  asks it to connect to the upstream
        @param timeout  limit for its response
        @returns        the status of its response; 200 if the connection is established, 0 if there was no response
    */
    auto connectThrough (tcp::endpoint relay, HttpRequest request, Duration timeout) -> Task<unsigned>;

    /** Sends a request, header and body. */
    auto send (const HttpRequest& request) -> Task<std::error_code>;

    /** Reads the response header. Skips interim (1xx) responses. */
    auto readHeader() -> Task<std::error_code>;

    /** Sends a request and reads the response header. */
    auto sendAndReadHeader (const HttpRequest& request) -> Task<std::error_code>;

    /** Reads the next available part of the response body: at least one byte, or none at the end of the body.

        @param bytes  is replaced by the part
        @returns      http::error::partial_message if the body has ended and isWhole() says that it was broken off
    */
    auto readSome (std::string& bytes) -> Task<std::error_code>;

    /** Appends the rest of the response body.

        @param limit  the maximum size of `body`, in bytes
        @returns      ErrorKind::bodyTooLarge when the limit is exceeded
    */
    auto readRest (std::string& body, std::size_t limit) -> Task<std::error_code>;

    /** Cancels the call: the step in progress fails, and so do connect() and send() afterwards. Must be called on the
        call's event loop.
    */
    auto cancel() -> void;

    [[nodiscard]] auto stage() const -> CallStage { return currentStage; }
    [[nodiscard]] auto header() const -> const http::response_header<>& { return parser->get().base(); }
    [[nodiscard]] auto status() const -> unsigned { return parser->get().result_int(); }
    /** @returns whether the connection was made for this call, and directly to the upstream. */
    [[nodiscard]] auto isNewConnection() const -> bool { return ! isReused && ! isRelayed; }
    /** @returns when the connection was made, directly or by the relaying node. */
    [[nodiscard]] auto connectedAt() const -> TimePoint { return connection->connectedAt; }
    [[nodiscard]] auto isThroughRelay() const -> bool { return isRelayed; }
    [[nodiscard]] auto isDone() const -> bool { return currentStage == CallStage::finished; }

    /** @returns whether the whole response has been received, with a 2xx status. */
    [[nodiscard]] auto hasSucceeded() const -> bool
    {
        return isDone() && http::to_status_class (status()) == http::status_class::successful;
    }

    /** @returns the length of the body if the response header states it. */
    [[nodiscard]] auto contentLength() const -> std::optional<std::uint64_t>;

    /** @returns whether the body is a stream of events, once the header has been read. */
    [[nodiscard]] auto hasEvents() const -> bool { return bodyEnd.isEventStream; }

    /** @returns how the end of the body is marked, once the header has been read. */
    [[nodiscard]] auto framing() const -> BodyFraming { return bodyEnd.framing; }

    /** Closes the connection at the end of the call, as the bytes received on it can't be trusted. */
    auto preventReuse() -> void { reusable = false; }

    /** Ensures that the upstream receives nothing of the call after its end: unless the response is whole, the connection ends
        with a reset, which discards what the kernel has not delivered, and the kernel stops delivering at the call's
        deadline. To be called before connect().
    */
    auto boundDeliveryByDeadline() -> void { hasBoundedDelivery = true; }

    /** Expects a response without a body, as the request is a HEAD request. */
    auto expectNoBody() -> void { isHeadRequest = true; }

private:
    /** Bytes of the body read at a time: a compromise between the throughput of large bodies and the memory of
        thousands of open streams.
    */
    static constexpr auto bodyBufferBytes = std::size_t { 4096 };

    using Parser = http::response_parser<http::buffer_body>;

    /** Sets the options of the connection that boundDeliveryByDeadline() asks for.

        @returns an error if the system doesn't support them
    */
    auto boundDelivery() -> std::error_code;

    /** Ends the call if the body that has been parsed to its end is whole. */
    auto finish() -> void;

    /** Parses the bytes that have been read already, without waiting.

        @param error  the result of the preceding read
    */
    auto parseBuffered (boost::system::error_code error) -> boost::system::error_code;

    /** Limits the step that begins now to its own timeout or to the time left of the whole call, whichever is shorter.
    */
    auto startDeadline (Duration wait) -> void;

    /** @returns the error to report: timed_out for an operation that the deadline has cancelled. */
    [[nodiscard]] auto callerError (boost::system::error_code error) const -> std::error_code;

    ConnectionPool& pool;
    tcp::endpoint endpoint;
    CallTimeouts timeouts;
    std::unique_ptr<UpstreamConnection> connection;
    std::optional<Parser> parser;
    std::array<char, bodyBufferBytes> bodyBuffer;
    CallStage currentStage = CallStage::notSent;
    BodyEnd bodyEnd;
    bool isHeadRequest = false;
    bool hasBoundedDelivery = false;
    bool isReused = false;
    bool isRelayed = false;
    /** Whether the relaying node states that its own end resets the connection. */
    bool hasMarkedEnd = false;
    /** Whether the whole response was read and the connection may be used for another call. */
    bool reusable = false;
    bool cancelled = false;
};

} // namespace snowrudder
