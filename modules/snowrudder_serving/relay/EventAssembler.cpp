#include "EventAssembler.h"

#include "snowrudder_net/stream/EventBoundaries.h"

namespace snowrudder
{

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
    while (position != std::string_view::npos && position != 0 && events[position - 1] != '\n' &&
           events[position - 1] != '\r')
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
