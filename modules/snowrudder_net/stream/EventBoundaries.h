#pragma once

#include <cstddef>
#include <string_view>

namespace snowrudder
{

/** @returns the offset at which the last complete server-sent event ends, or 0 if there is none. An event ends with an
    empty line; lines end with LF, CRLF or CR (WHATWG HTML, section 9.2). A CR that may be the first half of a CRLF ends
    no event yet.

    @param bytes  begins at the start of an event, or at any later line; earlier lines of the same event have no effect
*/
auto endOfCompleteEvents (std::string_view bytes) -> std::size_t;

} // namespace snowrudder
