#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Cuts a byte stream into server-sent events (WHATWG HTML, section 9.2). Only `data` is kept; lines may end with
    LF or CRLF.
*/
class EventReader
{
public:
    /** Adds bytes as they came. */
    auto add (std::string_view bytes) -> void;

    /** @returns the next whole event's data, empty when more bytes are needed. The view holds until the next call
        of add() or next().
    */
    auto next() -> std::optional<std::string_view>;

    /** @returns the bytes that are not yet a whole event. */
    [[nodiscard]] auto pendingBytes() const -> std::size_t { return buffer.size() - position; }

private:
    auto parseLine (std::string_view line) -> bool;

    std::string buffer;
    std::size_t position = 0;
    std::string data;
    bool hasData = false;
    bool wasReturned = false;
};

} // namespace snowrudder
