#pragma once

#include "ChatChunk.h"

#include <chrono>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Fields that are the same in all chunks of a response. */
struct CompletionMetadata
{
    /** The request's identifier. It does not depend on the engine that responds. */
    std::string id;
    std::string model;
    std::chrono::sys_seconds created {};
};

/** Writes the chunks and complete responses sent to callers. Fields common to all chunks are serialised only once. */
class ChatWriter
{
public:
    explicit ChatWriter (CompletionMetadata completionMetadata);

    /** Appends an event that adds text.

        @param eventId  the event's `id:`, from which a caller can resume the stream
    */
    auto appendText (std::string& target, std::uint64_t eventId, std::string_view text) const -> void;

    /** Appends an event with a choice given as JSON. */
    auto appendChoice (std::string& target, std::uint64_t eventId, std::string_view choice) const -> void;

    /** Appends the event with the finish reason. */
    auto appendFinish (std::string& target, std::uint64_t eventId, std::string_view reason) const -> void;

    /** Appends the event with token counts. */
    auto appendUsage (std::string& target, std::uint64_t eventId, const Usage& usage) const -> void;

    /** Appends an event with an error object. */
    static auto appendProblem (std::string& target, std::string_view problem) -> void;

    /** Appends the `[DONE]` event that ends the stream. */
    static auto appendDone (std::string& target) -> void;

    /** @returns the body of a response that is not streamed.

        @param toolCalls  the tool calls; omitted if empty
    */
    [[nodiscard]] auto wholeAnswer (std::string_view text,
                                    std::string_view reason,
                                    const Usage& usage,
                                    const boost::json::array& toolCalls) const -> std::string;

private:
    auto appendHead (std::string& target, std::uint64_t eventId) const -> void;

    CompletionMetadata head;
    std::string chunkHead;
};

/** Merges the tool calls of a streamed choice into those collected so far. Parts with the same index are joined. */
auto mergeToolCalls (boost::json::array& collected, std::string_view choice) -> void;

} // namespace snowrudder
