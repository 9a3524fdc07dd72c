#include "LineIndex.h"

#include <boost/json/basic_parser_impl.hpp>

#include <vector>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

/** Handler for Boost.JSON's basic_parser that records the line of each value. */
class LineHandler
{
public:
    static constexpr auto max_object_size = std::size_t (-1); // NOLINT(readability-identifier-naming)
    static constexpr auto max_array_size = std::size_t (-1);  // NOLINT(readability-identifier-naming)
    static constexpr auto max_key_size = std::size_t (-1);    // NOLINT(readability-identifier-naming)
    static constexpr auto max_string_size = std::size_t (-1); // NOLINT(readability-identifier-naming)

    // Boost.JSON's basic_parser requires these names and `bool` results.
    // NOLINTBEGIN(readability-identifier-naming)
    auto on_document_begin (json::error_code&) -> bool { return true; }
    auto on_document_end (json::error_code&) -> bool { return true; }
    auto on_object_begin (json::error_code&) -> bool { return open (false); }
    auto on_object_end (std::size_t, json::error_code&) -> bool { return close(); }
    auto on_array_begin (json::error_code&) -> bool { return open (true); }
    auto on_array_end (std::size_t, json::error_code&) -> bool { return close(); }

    auto on_key_part (json::string_view part, std::size_t, json::error_code&) -> bool
    {
        key += part;
        return true;
    }

    auto on_key (json::string_view part, std::size_t, json::error_code&) -> bool
    {
        key += part;
        pendingKey = key;
        key.clear();
        return true;
    }

    auto on_string_part (json::string_view, std::size_t, json::error_code&) -> bool { return true; }
    auto on_string (json::string_view, std::size_t, json::error_code&) -> bool { return recordValue(); }
    auto on_number_part (json::string_view, json::error_code&) -> bool { return true; }
    auto on_int64 (std::int64_t, json::string_view, json::error_code&) -> bool { return recordValue(); }
    auto on_uint64 (std::uint64_t, json::string_view, json::error_code&) -> bool { return recordValue(); }
    auto on_double (double, json::string_view, json::error_code&) -> bool { return recordValue(); }
    auto on_bool (bool, json::error_code&) -> bool { return recordValue(); }
    auto on_null (json::error_code&) -> bool { return recordValue(); }
    auto on_comment_part (json::string_view, json::error_code&) -> bool { return true; }
    auto on_comment (json::string_view, json::error_code&) -> bool { return true; }
    // NOLINTEND(readability-identifier-naming)

    LineIndexResult result;

private:
    struct Level
    {
        std::string path;
        bool isList = false;
        std::size_t elements = 0;
    };

    auto nextPath() -> std::string
    {
        if (levels.empty())
            return {};

        auto& level = levels.back();
        return level.isList ? elementPath (level.path, level.elements++)
                            : memberPath (level.path, pendingKey);
    }

    auto recordValue() -> bool
    {
        recordLine (nextPath());
        return true;
    }

    auto recordLine (const std::string& path) -> void
    {
        if (! result.lines.emplace (path, result.line).second && result.duplicatePath.empty())
            result.duplicatePath = path;
    }

    auto open (bool isList) -> bool
    {
        const auto path = nextPath();
        recordLine (path);
        levels.push_back ({ path, isList });
        return true;
    }

    auto close() -> bool
    {
        levels.pop_back();
        return true;
    }

    std::vector<Level> levels;
    std::string key;
    std::string pendingKey;
};

auto parseOptions() -> json::parse_options
{
    json::parse_options options;
    options.allow_comments = true;
    return options;
}

} // namespace

auto memberPath (std::string_view parent, std::string_view name) -> std::string
{
    return parent.empty() ? std::string (name) : std::string (parent) + "." + std::string (name);
}

auto elementPath (std::string_view parent, std::size_t position) -> std::string
{
    return std::string (parent) + "[" + std::to_string (position) + "]";
}

auto indexLines (std::string_view text) -> LineIndexResult
{
    json::basic_parser<LineHandler> parser (parseOptions());
    auto& result = parser.handler().result;

    while (result.error.empty())
    {
        const auto end = text.find ('\n');
        const auto isLast = end == std::string_view::npos;
        const auto part = isLast ? text : text.substr (0, end + 1);
        ++result.line;

        json::error_code error;
        const auto used = parser.write_some (! isLast, part.data(), part.size(), error);

        if (! error && used < part.size() &&
            part.find_first_not_of (" \t\r\n", used) != std::string_view::npos)
            error = json::error::extra_data;

        if (error)
            result.error = error.message();

        if (isLast)
            break;

        text.remove_prefix (part.size());
    }

    return result;
}

} // namespace snowrudder
