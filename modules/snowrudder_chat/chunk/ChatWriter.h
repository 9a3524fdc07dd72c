#pragma once

#include "ChatChunk.h"

#include <chrono>
#include <string>
#include <string_view>

namespace snowrudder
{

/** What stays the same over all chunks of one answer. */
struct CompletionMetadata
{
    /** The request's identifier: the same whichever engine answers. */
    std::string id;
    std::string model;
    std::chrono::sys_seconds created {};
};

/** Writes the chunks and whole answers that callers get. The parts that never change are written once. */
class ChatWriter
{
public:
    explicit ChatWriter (CompletionMetadata completionMetadata);

    /** Appends an event with added text.

        @param eventId  the event's `id:`, from which a caller can resume
    */
    auto appendText (std::string& target, std::uint64_t eventId, std::string_view text) const -> void;

    /** Appends an event whose choice is given as JSON. */
    auto appendChoice (std::string& target, std::uint64_t eventId, std::string_view choice) const -> void;

    /** Appends the event that says why the answer ended. */
    auto appendFinish (std::string& target, std::uint64_t eventId, std::string_view reason) const -> void;

    /** Appends the event with usage figures. */
    auto appendUsage (std::string& target, std::uint64_t eventId, const Usage& usage) const -> void;

    /** Appends an event with an error object. */
    static auto appendProblem (std::string& target, std::string_view problem) -> void;

    /** Appends the end of the stream. */
    static auto appendDone (std::string& target) -> void;

    /** @returns a whole answer.

        @param toolCalls  a JSON list, or empty
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

/** Adds the tool calls of a streamed choice to those gathered so far: parts with the same index are joined. */
auto mergeToolCalls (boost::json::array& collected, std::string_view choice) -> void;

} // namespace snowrudder
