#include "EventReader.h"

namespace snowrudder
{

auto EventReader::add (std::string_view bytes) -> void
{
    if (position == buffer.size())
    {
        buffer.clear();
        position = 0;
    }

    buffer += bytes;
}

auto EventReader::next() -> std::optional<std::string_view>
{
    if (wasReturned)
    {
        data.clear();
        hasData = false;
        wasReturned = false;
    }

    for (;;)
    {
        if (endedWithCarriageReturn && position < buffer.size())
        {
            position += buffer[position] == '\n' ? 1 : 0;
            endedWithCarriageReturn = false;
        }

        const auto end = buffer.find_first_of ("\r\n", position);

        if (end == std::string::npos)
        {
            buffer.erase (0, position);
            position = 0;
            return {};
        }

        const auto line = std::string_view (buffer).substr (position, end - position);
        endedWithCarriageReturn = buffer[end] == '\r';
        position = end + 1;

        if (parseLine (line))
        {
            wasReturned = true;
            return data;
        }
    }
}

auto EventReader::parseLine (std::string_view line) -> bool
{
    constexpr auto field = std::string_view ("data:");

    if (line.empty())
        return hasData;

    if (! line.starts_with (field))
        return false;

    line.remove_prefix (field.size());

    if (line.starts_with (' '))
        line.remove_prefix (1);

    if (hasData)
        data += '\n';

    data += line;
    hasData = true;
    return false;
}

} // namespace snowrudder
