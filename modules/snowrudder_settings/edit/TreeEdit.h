#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** Member names from the root of the tree down, such as `accounts`, `city`, `policy`. */
using TreePath = std::vector<std::string>;

/** Splits a path such as `accounts/city/policy` at each '/'. Empty names are left out. */
auto parseTreePath (std::string_view text) -> TreePath;

/** What an edit does to the value at its path. */
enum class EditAction
{
    /** Sets the value, replacing any existing one. */
    replace,
    /** Merges an object into the existing value; members that are null are removed (JSON Merge Patch, RFC 7396). */
    merge,
    /** Removes the value, so that it is inherited again. */
    remove
};

/** One edit of the settings tree. */
struct TreeEdit
{
    EditAction action = EditAction::replace;
    TreePath path;
    boost::json::value value;
};

/** @returns the value at a path, or nullptr if there is none. */
auto valueAt (const boost::json::value& tree, const TreePath& path) -> const boost::json::value*;

/** Applies an edit. Levels missing above the path are created, except for EditAction::remove.

    @returns nothing, or the reason why the edit can't be applied; the tree is unchanged then
*/
auto applyEdit (boost::json::value& tree, const TreeEdit& edit) -> std::optional<std::string>;

/** One value that differs between two trees. A missing value is null. */
struct TreeChange
{
    /** Member names joined by '/'. */
    std::string path;
    boost::json::value before;
    boost::json::value after;
};

/** @returns every value that differs, with its path. Lists are compared as a whole; the EditMark is ignored. */
auto diffTrees (const boost::json::value& before, const boost::json::value& after) -> std::vector<TreeChange>;

/** Parses JSON that may contain comments.

    @returns the value, or nothing if the text is not valid
*/
auto parseTree (std::string_view text) -> std::optional<boost::json::value>;

/** @returns a value as indented JSON with one object member per line. */
auto prettyJson (const boost::json::value& value) -> std::string;

} // namespace snowrudder
