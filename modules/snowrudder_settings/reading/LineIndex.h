#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Line numbers of the values of a JSON document, counted from 1, by path. */
using LineIndex = std::map<std::string, std::size_t, std::less<>>;

/** Result of indexing a JSON document. */
struct LineIndexResult
{
    LineIndex lines;
    /** The parser's error; empty if the document is well formed. */
    std::string error;
    /** The line of the error, or the document's last line. */
    std::size_t line = 0;
    /** Path of the first member that occurs twice in one object; empty if there is none. */
    std::string duplicatePath;
};

/** Finds the line of each value of a document. Comments are the only extension of JSON that is allowed.

    Boost.JSON's parser doesn't report positions. It is therefore fed one line at a time, and each value is recorded
    with the line being parsed.
*/
auto indexLines (std::string_view text) -> LineIndexResult;

/** @returns the path of an object's member. */
auto memberPath (std::string_view parent, std::string_view name) -> std::string;

/** @returns the path of a list's element. */
auto elementPath (std::string_view parent, std::size_t position) -> std::string;

} // namespace snowrudder
