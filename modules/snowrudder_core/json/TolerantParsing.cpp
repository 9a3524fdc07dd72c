#include "TolerantParsing.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>
#include <vector>

namespace snowrudder
{

namespace
{

namespace json = boost::json;

/** The levels at which unusable parts are separated from the others: an object, a list in it, and an entry of that. */
constexpr auto separatedLevels = 3;

constexpr auto blanks = std::string_view (" \t\r\n");
constexpr auto escapeLength = std::size_t { 6 };
constexpr auto firstSurrogate = 0xD800U;
constexpr auto firstLowSurrogate = 0xDC00U;
constexpr auto lastSurrogate = 0xDFFFU;
/** Python's `surrogateescape` maps each byte that isn't valid UTF-8 to this plus the byte. */
constexpr auto firstEscapedByte = 0xDC80U;
constexpr auto lastEscapedByte = 0xDCFFU;

auto trimmed (std::string_view text) -> std::string_view
{
    const auto begin = text.find_first_not_of (blanks);

    if (begin == std::string_view::npos)
        return {};

    return text.substr (begin, text.find_last_not_of (blanks) - begin + 1);
}

auto parseValue (std::string_view text) -> std::optional<json::value>
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    boost::system::error_code error;
    auto value = json::parse (json::string_view (text.data(), text.size()), error, {}, options);
    return error ? std::nullopt : std::optional (std::move (value));
}

/** @returns the surrogate whose escape is at the beginning of a text, or 0. */
auto surrogateAt (std::string_view text) -> unsigned
{
    if (text.size() < escapeLength || ! text.starts_with ("\\u"))
        return 0;

    auto code = 0U;
    const auto* end = text.data() + escapeLength;
    const auto parsed = std::from_chars (text.data() + 2, end, code, 16);
    return parsed.ec == std::errc() && parsed.ptr == end && code >= firstSurrogate && code <= lastSurrogate
               ? code
               : 0;
}

auto appendSurrogate (std::string& text, unsigned code) -> void
{
    if (code >= firstEscapedByte && code <= lastEscapedByte)
    {
        text += static_cast<char> (code & 0xFFU);
        return;
    }

    text += static_cast<char> (0xE0U | (code >> 12U));
    text += static_cast<char> (0x80U | ((code >> 6U) & 0x3FU));
    text += static_cast<char> (0x80U | (code & 0x3FU));
}

auto replaceLoneSurrogates (std::string_view text) -> std::string
{
    std::string replaced;
    replaced.reserve (text.size());

    while (! text.empty())
    {
        const auto code = surrogateAt (text);
        const auto next = code != 0 ? surrogateAt (text.substr (escapeLength)) : 0;
        const auto isPair = code != 0 && code < firstLowSurrogate && next >= firstLowSurrogate;

        if (code != 0 && ! isPair)
            appendSurrogate (replaced, code);

        const auto plainLength = std::size_t { text.front() == '\\' ? 2U : 1U };
        const auto length = isPair      ? 2 * escapeLength
                            : code != 0 ? escapeLength
                                        : std::min (plainLength, text.size());

        if (code == 0 || isPair)
            replaced.append (text.substr (0, length));

        text.remove_prefix (length);
    }

    return replaced;
}

/** @returns the length of the string that a text begins with, with its quotes, or 0. */
auto stringLength (std::string_view text) -> std::size_t
{
    if (! text.starts_with ('"'))
        return 0;

    for (auto place = std::size_t { 1 }; place < text.size(); ++place)
    {
        if (text[place] == '"')
            return place + 1;

        if (text[place] == '\\')
            ++place;
    }

    return 0;
}

/** @returns the parts of an object or array between its commas, or nothing if its brackets and quotes don't match. */
auto separate (std::string_view text) -> std::optional<std::vector<std::string_view>>
{
    const auto inside = trimmed (text.substr (1, text.size() - 2));
    std::vector<std::string_view> parts;
    std::string open;
    auto begin = std::size_t { 0 };

    for (auto place = std::size_t { 0 }; place < inside.size(); ++place)
    {
        const auto character = inside[place];

        if (character == '"')
        {
            const auto length = stringLength (inside.substr (place));

            if (length == 0)
                return {};

            place += length - 1;
        }
        else if (character == '{' || character == '[')
        {
            open += character == '{' ? '}' : ']';
        }
        else if (character == '}' || character == ']')
        {
            if (open.empty() || open.back() != character)
                return {};

            open.pop_back();
        }
        else if (character == ',' && open.empty())
        {
            parts.push_back (trimmed (inside.substr (begin, place - begin)));
            begin = place + 1;
        }
    }

    if (! open.empty())
        return {};

    if (! inside.empty())
        parts.push_back (trimmed (inside.substr (begin)));

    return parts;
}

auto parseParts (std::string_view text, int levels) -> json::value;

auto parseMembers (const std::vector<std::string_view>& parts, int levels) -> json::object
{
    json::object object;

    for (const auto part : parts)
    {
        const auto nameLength = stringLength (part);
        const auto name = parseValue (part.substr (0, nameLength));
        const auto rest = trimmed (part.substr (nameLength));

        if (name && name->is_string() && rest.starts_with (':'))
            object[name->get_string()] = parseParts (trimmed (rest.substr (1)), levels);
    }

    return object;
}

/** @returns a value with null in place of the parts that can't be parsed. */
auto parseParts (std::string_view text, int levels) -> json::value
{
    if (auto value = parseValue (text))
        return std::move (*value);

    const auto isObject = text.size() > 1 && text.front() == '{' && text.back() == '}';
    const auto isArray = text.size() > 1 && text.front() == '[' && text.back() == ']';
    const auto parts = levels > 0 && (isObject || isArray) ? separate (text) : std::nullopt;

    if (! parts)
        return nullptr;

    if (isObject)
        return parseMembers (*parts, levels - 1);

    json::array array;

    for (const auto part : *parts)
        array.push_back (parseParts (part, levels - 1));

    return array;
}

} // namespace

auto parseTolerantly (std::string_view text) -> std::optional<json::object>
{
    auto value = parseValue (text);

    if (! value)
        value = parseParts (trimmed (replaceLoneSurrogates (text)), separatedLevels);

    if (! value->is_object())
        return {};

    return std::move (value->get_object());
}

} // namespace snowrudder
