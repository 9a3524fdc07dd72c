#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Where each value of a JSON document stands, by the value's path. */
using LineIndex = std::map<std::string, std::size_t, std::less<>>;

/** What reading a document as plain JSON gives. */
struct LineIndexResult
{
    LineIndex lines;
    /** Empty when the document is well formed. */
    std::string error;
    /** The line of the error, or the document's last line. */
    std::size_t line = 0;
    /** A member's path given twice in one object; empty when there is none. */
    std::string duplicatePath;
};

/** Finds the line of each value. Comments and nothing else beyond JSON are allowed.

    Boost.JSON's parser tells no positions, so it is fed one line at a time and each value is noted under the
    line being fed.
*/
auto indexLines (std::string_view text) -> LineIndexResult;

/** @returns the path of an object's member. */
auto memberPath (std::string_view parent, std::string_view name) -> std::string;

/** @returns the path of a list's element. */
auto elementPath (std::string_view parent, std::size_t position) -> std::string;

} // namespace snowrudder
