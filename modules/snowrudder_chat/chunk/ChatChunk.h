#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>

namespace snowrudder
{

/** Token counts reported by an engine. */
struct Usage
{
    std::uint32_t promptTokens = 0;
    /** The prompt tokens that were in the engine's cache. */
    std::uint32_t cachedTokens = 0;
    std::uint32_t completionTokens = 0;
};

/** One chunk of an engine's streamed response. */
struct ChatChunk
{
    /** Text added by this chunk; may be empty. */
    std::string content;
    /** The reason why the response ended; empty before the end. */
    std::string finishReason;
    /** The choice as JSON if it contains more than text, such as tool calls or log probabilities; otherwise empty. */
    std::string other;
    /** Token counts so far, if the chunk contains them. */
    std::optional<Usage> usage;
};

/** The `[DONE]` event that ends a stream. */
struct StreamEnd
{
};

/** An error object sent in place of a chunk. */
struct StreamError
{
    std::string message;
};

/** One event of an engine's stream. */
using ChatEvent = std::variant<ChatChunk, StreamEnd, StreamError>;

/** Parses the data of one event of an engine's stream.

    @returns the event, or nothing if it is not valid
*/
auto parseChatEvent (std::string_view data) -> std::optional<ChatEvent>;

} // namespace snowrudder
