#include "EventAssembler.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** @returns where the last whole event ends, or 0. Events end with an empty line; lines may end with LF or CRLF. */
auto endOfEvents (std::string_view bytes) -> std::size_t
{
    constexpr auto none = std::string_view::npos;
    const auto plain = bytes.rfind ("\n\n");
    const auto carriage = bytes.rfind ("\n\r\n");
    const auto afterPlain = plain == none ? std::size_t { 0 } : plain + 2;
    const auto afterCarriage = carriage == none ? std::size_t { 0 } : carriage + 3;
    return std::max (afterPlain, afterCarriage);
}

} // namespace

auto EventAssembler::add (std::string_view bytes) -> std::string_view
{
    partial += bytes;
    const auto end = endOfEvents (partial);
    whole.assign (partial, 0, end);
    partial.erase (0, end);
    noteIdentifier (whole);
    return whole;
}

auto EventAssembler::noteIdentifier (std::string_view events) -> void
{
    constexpr auto field = std::string_view ("id:");
    auto place = events.rfind (field);

    // The field's name counts at the start of a line only.
    while (place != std::string_view::npos && place != 0 && events[place - 1] != '\n')
        place = events.rfind (field, place - 1);

    if (place == std::string_view::npos)
        return;

    auto value = events.substr (place + field.size());
    value = value.substr (0, value.find_first_of ("\r\n"));

    if (value.starts_with (' '))
        value.remove_prefix (1);

    last = value;
}

} // namespace snowrudder
