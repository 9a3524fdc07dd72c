#include "EventAssembler.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** @returns the offset at which the last complete event ends, or 0. Events end with an empty line; lines end with LF
    or CRLF.
*/
auto endOfCompleteEvents (std::string_view bytes) -> std::size_t
{
    constexpr auto notFound = std::string_view::npos;
    const auto lineFeedEnd = bytes.rfind ("\n\n");
    const auto crlfEnd = bytes.rfind ("\n\r\n");
    const auto afterLineFeed = lineFeedEnd == notFound ? std::size_t { 0 } : lineFeedEnd + 2;
    const auto afterCrlf = crlfEnd == notFound ? std::size_t { 0 } : crlfEnd + 3;
    return std::max (afterLineFeed, afterCrlf);
}

} // namespace

auto EventAssembler::add (std::string_view bytes) -> std::string_view
{
    partial += bytes;
    const auto end = endOfCompleteEvents (partial);
    completeEvents.assign (partial, 0, end);
    partial.erase (0, end);
    recordIdentifier (completeEvents);
    return completeEvents;
}

auto EventAssembler::recordIdentifier (std::string_view events) -> void
{
    constexpr auto field = std::string_view ("id:");
    auto position = events.rfind (field);

    // A field name is valid only at the start of a line.
    while (position != std::string_view::npos && position != 0 && events[position - 1] != '\n')
        position = events.rfind (field, position - 1);

    if (position == std::string_view::npos)
        return;

    auto value = events.substr (position + field.size());
    value = value.substr (0, value.find_first_of ("\r\n"));

    if (value.starts_with (' '))
        value.remove_prefix (1);

    lastIdentifier = value;
}

} // namespace snowrudder
