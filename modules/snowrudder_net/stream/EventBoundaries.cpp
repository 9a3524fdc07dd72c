#include "EventBoundaries.h"

#include <algorithm>
#include <array>

namespace snowrudder
{

auto endOfCompleteEvents (std::string_view bytes) -> std::size_t
{
    // The end of a line and an empty line, where lines end with LF, with CRLF and with CR. The second one also matches
    // the end of a line that ends with LF before one that ends with CRLF.
    constexpr auto separators = std::array<std::string_view, 3> { "\n\n", "\n\r\n", "\r\r" };
    auto end = std::size_t { 0 };

    for (const auto separator : separators)
        if (const auto position = bytes.rfind (separator); position != std::string_view::npos)
            end = std::max (end, position + separator.size());

    // Where an empty line ends with CRLF after a line that ends with CR, the LF belongs to the empty line.
    if (end > 0 && end < bytes.size() && bytes[end - 1] == '\r' && bytes[end] == '\n')
        ++end;

    return end;
}

} // namespace snowrudder
