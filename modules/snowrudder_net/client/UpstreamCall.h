#pragma once

#include "CallStage.h"
#include "ConnectionPool.h"

#include <array>
#include <optional>
#include <string>
#include <system_error>

namespace snowrudder
{

/** Waits that a call keeps. */
struct CallTimeouts
{
    Duration connect = 1s;
    Duration firstByte = 60s;
    Duration idle = 30s;
    /** When the whole call must be over, whatever the waits above leave. */
    TimePoint end = TimePoint::max();
};

/** One call to one upstream, step by step. Dropping it closes its connection, unless the answer was read whole. */
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

    /** Connects, unless an idle connection is at hand.

        @param mayReuse  false for calls that may not repeat: a reused connection can die unseen under the request
    */
    auto connect (bool mayReuse) -> Task<std::error_code>;

    /** Sends a request. */
    auto send (const HttpRequest& request) -> Task<std::error_code>;

    /** Reads the answer's header. */
    auto readHeader() -> Task<std::error_code>;

    /** Sends a request and reads its answer's header. */
    auto sendAndReadHeader (const HttpRequest& request) -> Task<std::error_code>;

    /** Reads some of the answer's body: what is there, at least a byte, or nothing at its end.

        @param bytes  replaced
    */
    auto readSome (std::string& bytes) -> Task<std::error_code>;

    /** Reads the rest of the body, up to a limit.

        @returns bodyTooLarge when there is more
    */
    auto readRest (std::string& body, std::size_t limit) -> Task<std::error_code>;

    /** Ends the call from outside: the step in progress fails. Call on the call's event loop. */
    auto cancel() -> void;

    [[nodiscard]] auto stage() const -> CallStage { return currentStage; }
    [[nodiscard]] auto header() const -> const http::response_header<>& { return parser->get().base(); }
    [[nodiscard]] auto status() const -> unsigned { return parser->get().result_int(); }
    [[nodiscard]] auto isDone() const -> bool { return currentStage == CallStage::finished; }

    /** @returns whether the whole answer is here and is a success. */
    [[nodiscard]] auto hasSucceeded() const -> bool
    {
        return isDone() && http::to_status_class (status()) == http::status_class::successful;
    }

    /** @returns the body's length when the header states it. */
    [[nodiscard]] auto contentLength() const -> std::optional<std::uint64_t>;

    /** Closes the connection at the call's end: what came on it can't be trusted. */
    auto preventReuse() -> void { reusable = false; }

    /** Tells the parser that the request was HEAD, whose answer has no body. */
    auto expectNoBody() -> void { isHeadRequest = true; }

private:
    /** Bytes of body taken at a time: a compromise between large bodies and thousands of open streams. */
    static constexpr auto bodyBufferBytes = std::size_t { 4096 };

    using Parser = http::response_parser<http::buffer_body>;

    auto finish() -> void;

    /** Parses what has been read already, without waiting.

        @param error  of the read before
    */
    auto parseBuffered (boost::system::error_code error) -> boost::system::error_code;

    /** Bounds the step that begins now: its own wait, or what is left of the whole call. */
    auto startDeadline (Duration wait) -> void;

    /** @returns an error as the caller is told: a cancelled operation whose time ran out has timed out. */
    [[nodiscard]] auto callerError (boost::system::error_code error) const -> std::error_code;

    ConnectionPool& pool;
    tcp::endpoint endpoint;
    CallTimeouts timeouts;
    std::unique_ptr<UpstreamConnection> connection;
    std::optional<Parser> parser;
    std::array<char, bodyBufferBytes> bodyBuffer;
    CallStage currentStage = CallStage::notSent;
    bool isHeadRequest = false;
    /** Whether the answer was read whole and the connection may serve another call. */
    bool reusable = false;
    bool cancelled = false;
};

} // namespace snowrudder
