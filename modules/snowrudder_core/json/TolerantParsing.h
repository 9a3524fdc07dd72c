#pragma once

#include <boost/json.hpp>

#include <optional>
#include <string_view>

namespace snowrudder
{

/** Parses a JSON object of which parts may be unusable, such as a list with an entry that someone else wrote.

    Strings may contain invalid UTF-8. The escape of a lone surrogate becomes the byte that it stands for (U+DC80 to U+DCFF), or
    else its three bytes. Members and elements that can't be parsed otherwise are null, down to the members of the elements of
    the object's members.

    @returns the object, or nothing if the text is not an object or its brackets and quotes don't match
*/
auto parseTolerantly (std::string_view text) -> std::optional<boost::json::object>;

} // namespace snowrudder
