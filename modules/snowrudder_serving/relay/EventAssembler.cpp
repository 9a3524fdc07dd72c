#include "EventAssembler.h"

#include "snowrudder_net/stream/EventBoundaries.h"

namespace snowrudder
{

namespace
{

/** The most memory that is kept for the next events, in bytes. */
constexpr auto keptBytes = std::size_t { 16 } * 1024;

/** @returns the position of the last line that begins with a field's name, or npos. */
auto findLastField (std::string_view events, std::string_view field) -> std::size_t
{
    auto position = events.rfind (field);

    // A field name is valid only at the start of a line.
    while (position != std::string_view::npos && position != 0 && events[position - 1] != '\n' &&
           events[position - 1] != '\r')
        position = events.rfind (field, position - 1);

    return position;
}

} // namespace

auto EventAssembler::add (std::string_view bytes) -> std::string_view
{
    if (completeEvents.capacity() > keptBytes)
        completeEvents = {};

    partial += bytes;
    const auto end = endOfCompleteEvents (partial);
    completeEvents.assign (partial, 0, end);
    partial.erase (0, end);

    if (partial.empty() && partial.capacity() > keptBytes)
        partial = {};

    recordIdentifier (completeEvents);
    return completeEvents;
}

auto EventAssembler::recordIdentifier (std::string_view events) -> void
{
    constexpr auto field = std::string_view ("id:");
    const auto position = findLastField (events, field);

    if (position == std::string_view::npos)
    {
        hasUnidentified = hasUnidentified || (lastIdentifier.empty() &&
                                              findLastField (events, "data") != std::string_view::npos);
        return;
    }

    auto value = events.substr (position + field.size());
    value = value.substr (0, value.find_first_of ("\r\n"));

    if (value.starts_with (' '))
        value.remove_prefix (1);

    lastIdentifier = value;
}

} // namespace snowrudder
