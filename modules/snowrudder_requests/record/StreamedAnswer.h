#pragma once

#include "snowrudder_chat/snowrudder_chat.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** The part of a model's answer received so far: its text and where each event ends in it. The compact form lets
    thousands of open streams fit into a small VM. Events are numbered from 1.
*/
class StreamedAnswer
{
public:
    /** Appends an event that holds only text. */
    auto appendText (std::string_view piece) -> void;

    /** Appends an event that holds more than text, as the JSON of its choice. */
    auto appendChoice (std::string choice) -> void;

    [[nodiscard]] auto eventCount() const -> std::size_t { return events.size(); }
    [[nodiscard]] auto text() const -> const std::string& { return allText; }
    [[nodiscard]] auto choices() const -> const std::vector<std::string>& { return allChoices; }

    /** Appends the events after a given one to a caller's stream.

        @param after  number of the last event that the caller has received
        @param most   stops once this many bytes have been appended
        @returns      number of the last event appended, or `after`
    */
    auto write (const ChatWriter& writer, std::size_t after, std::size_t most, std::string& target) const
        -> std::size_t;

    /** @returns the events as numbers, for a handover: twice the offset at which an event's text ends, or twice the
        index of its choice plus one.
    */
    [[nodiscard]] auto eventCodes() const -> std::vector<std::uint32_t>;

    /** @returns the answer that eventCodes() and its parts describe, or nothing if they are inconsistent. */
    static auto restore (std::string text,
                         const std::vector<std::uint32_t>& codes,
                         std::vector<std::string> choices) -> std::optional<StreamedAnswer>;

    /** @returns the memory that the answer takes, in bytes. */
    [[nodiscard]] auto bytes() const -> std::size_t;

private:
    struct Event
    {
        /** Offset at which the event's text ends, or index of its choice. */
        std::uint32_t value = 0;
        bool isChoice = false;
    };

    /** @returns the offset at which the text of an event begins. */
    [[nodiscard]] auto textBegin (std::size_t index) const -> std::size_t;

    std::string allText;
    std::vector<Event> events;
    std::vector<std::string> allChoices;
};

} // namespace snowrudder
