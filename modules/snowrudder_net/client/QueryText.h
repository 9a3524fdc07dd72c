#pragma once

#include <string>
#include <string_view>

namespace snowrudder
{

/** @returns a text of any bytes as the value of a parameter in the query of a request target, with all characters escaped
    that are neither unreserved (RFC 3986) nor a slash.
*/
auto queryText (std::string_view text) -> std::string;

} // namespace snowrudder
