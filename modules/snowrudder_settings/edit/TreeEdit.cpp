#include "TreeEdit.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

/** The top-level member that holds the EditMark. Operators can't edit it. */
constexpr auto editMarkMember = "edit";

auto mergeInto (json::value& target, const json::value& patch) -> void
{
    if (! patch.is_object())
    {
        target = patch;
        return;
    }

    if (! target.is_object())
        target = json::object();

    auto& object = target.get_object();

    for (const auto& [name, member] : patch.get_object())
    {
        if (member.is_null())
            object.erase (name);
        else
            mergeInto (object[name], member);
    }
}

auto joinPath (const std::string& path, std::string_view name) -> std::string
{
    return path.empty() ? std::string (name) : path + "/" + std::string (name);
}

auto memberName (const json::key_value_pair& member) -> std::string_view
{
    return { member.key().data(), member.key().size() };
}

auto collectChanges (const json::value& before,
                     const json::value& after,
                     const std::string& path,
                     std::vector<TreeChange>& changes) -> void
{
    if (before == after)
        return;

    if (! before.is_object() || ! after.is_object())
    {
        changes.push_back ({ path, before, after });
        return;
    }

    const json::value nullValue;

    for (const auto& member : before.get_object())
    {
        const auto* other = after.get_object().if_contains (member.key());
        collectChanges (member.value(), other == nullptr ? nullValue : *other,
                        joinPath (path, memberName (member)), changes);
    }

    for (const auto& member : after.get_object())
        if (! before.get_object().contains (member.key()))
            collectChanges (nullValue, member.value(), joinPath (path, memberName (member)), changes);
}

auto withoutEditMark (json::value tree) -> json::value
{
    if (tree.is_object())
        tree.get_object().erase (editMarkMember);

    return tree;
}

/** @returns the object that contains the last name of a path, or nullptr if a level is missing or not an object.

    @param createMissing  whether missing levels are created
*/
auto parentObject (json::value& tree, const TreePath& path, bool createMissing) -> json::object*
{
    auto* level = &tree;

    for (auto index = std::size_t { 0 }; index + 1 < path.size(); ++index)
    {
        if (! level->is_object())
            return nullptr;

        auto& object = level->get_object();

        if (! object.contains (path[index]) && ! createMissing)
            return nullptr;

        level = &object[path[index]];

        if (level->is_null())
            *level = json::object();
    }

    return level->is_object() ? &level->get_object() : nullptr;
}

auto writePretty (std::string& text, const json::value& value, std::size_t depth) -> void
{
    constexpr auto indent = std::size_t { 2 };

    if (! value.is_object() || value.get_object().empty())
    {
        text += json::serialize (value);
        return;
    }

    text += "{\n";
    auto remaining = value.get_object().size();

    for (const auto& member : value.get_object())
    {
        text += std::string ((depth + 1) * indent, ' ') + json::serialize (member.key()) + ": ";
        writePretty (text, member.value(), depth + 1);
        text += --remaining > 0 ? ",\n" : "\n";
    }

    text += std::string (depth * indent, ' ') + "}";
}

} // namespace

auto parseTreePath (std::string_view text) -> TreePath
{
    TreePath path;

    while (! text.empty())
    {
        const auto end = std::min (text.find ('/'), text.size());

        if (end > 0)
            path.emplace_back (text.substr (0, end));

        text.remove_prefix (std::min (end + 1, text.size()));
    }

    return path;
}

auto valueAt (const json::value& tree, const TreePath& path) -> const json::value*
{
    const auto* level = &tree;

    for (const auto& name : path)
    {
        if (! level->is_object())
            return nullptr;

        level = level->get_object().if_contains (name);

        if (level == nullptr)
            return nullptr;
    }

    return level;
}

auto applyEdit (json::value& tree, const TreeEdit& edit) -> std::optional<std::string>
{
    if (! edit.path.empty() && edit.path.front() == editMarkMember)
        return "the mark of the edit is not for operators to change";

    if (edit.path.empty())
    {
        if (edit.action == EditAction::remove)
            return "the whole tree can't be removed";

        if (! edit.value.is_object())
            return "the tree must be an object";

        if (edit.action == EditAction::replace)
            tree = edit.value;
        else
            mergeInto (tree, edit.value);

        return {};
    }

    auto* parent = parentObject (tree, edit.path, edit.action != EditAction::remove);

    if (parent == nullptr)
        return "a level above the path is not there, or is no object";

    if (edit.action == EditAction::replace)
        (*parent)[edit.path.back()] = edit.value;
    else if (edit.action == EditAction::merge)
        mergeInto ((*parent)[edit.path.back()], edit.value);
    else if (parent->erase (edit.path.back()) == 0)
        return "there is nothing at the path";

    return {};
}

auto diffTrees (const json::value& before, const json::value& after) -> std::vector<TreeChange>
{
    std::vector<TreeChange> changes;
    collectChanges (withoutEditMark (before), withoutEditMark (after), "", changes);
    return changes;
}

auto parseTree (std::string_view text) -> std::optional<json::value>
{
    json::parse_options options;
    options.allow_comments = true;
    boost::system::error_code error;
    auto value = json::parse (json::string_view (text.data(), text.size()), error, {}, options);
    return error ? std::nullopt : std::optional (std::move (value));
}

auto prettyJson (const json::value& value) -> std::string
{
    std::string text;
    writePretty (text, value, 0);
    return text + "\n";
}

} // namespace snowrudder
