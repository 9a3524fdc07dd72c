#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Parses a byte stream into server-sent events (WHATWG HTML, section 9.2). Only `data` fields are kept; lines may end
    with LF, CRLF or CR.
*/
class EventReader
{
public:
    /** Appends bytes received from the stream, split at any position. */
    auto add (std::string_view bytes) -> void;

    /** @returns the data of the next complete event, or nothing when more bytes are needed. The view is valid until
        the next call of add() or next().
    */
    auto next() -> std::optional<std::string_view>;

    /** @returns the number of bytes that have not been parsed yet. */
    [[nodiscard]] auto pendingBytes() const -> std::size_t { return buffer.size() - position; }

private:
    auto parseLine (std::string_view line) -> bool;

    std::string buffer;
    std::size_t position = 0;
    std::string data;
    bool hasData = false;
    bool wasReturned = false;
    /** Whether the last line ended with CR, so that an LF right after it belongs to the same line end. */
    bool endedWithCarriageReturn = false;
};

} // namespace snowrudder
