#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** @returns a text of any bytes as the value of a parameter in the query of a request target, with all characters escaped
    that are neither unreserved (RFC 3986) nor a slash.
*/
auto queryText (std::string_view text) -> std::string;

/** @returns a text of any bytes as one segment of a path: like queryText(), but slashes are escaped too. */
auto segmentText (std::string_view text) -> std::string;

/** @returns the text that was escaped by one of these, or nothing if an escape is malformed. */
auto unescapedText (std::string_view text) -> std::optional<std::string>;

} // namespace snowrudder
