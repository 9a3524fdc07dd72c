#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace snowrudder
{

/** @returns the JSON object in external text, or nothing if the text is not valid JSON or not an object. */
inline auto parseObject (std::string_view text) -> std::optional<boost::json::object>
{
    boost::system::error_code error;
    auto value = boost::json::parse (boost::json::string_view (text.data(), text.size()), error);

    if (error || ! value.is_object())
        return {};

    return std::move (value.get_object());
}

/** Functions that read members of external JSON objects: a missing member or one of another type gives the fallback. */

/** @returns the member of that name, or nullptr. */
inline auto memberOf (const boost::json::object& object, std::string_view name) -> const boost::json::value*
{
    return object.if_contains (boost::json::string_view (name.data(), name.size()));
}

/** @returns the string in a member, or an empty string. */
inline auto textIn (const boost::json::object& object, std::string_view name) -> std::string
{
    const auto* value = memberOf (object, name);
    return value != nullptr && value->is_string() ? std::string (value->get_string()) : std::string();
}

/** @returns the number in a member, or the fallback. */
inline auto numberIn (const boost::json::object& object, std::string_view name, double fallback) -> double
{
    const auto* value = memberOf (object, name);
    return value != nullptr && value->is_number() ? value->to_number<double>() : fallback;
}

/** @returns the non-negative integer in a member, or 0. */
inline auto wholeNumberIn (const boost::json::object& object, std::string_view name) -> std::uint64_t
{
    const auto* value = memberOf (object, name);
    boost::system::error_code error;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t> (error);
    return error ? 0 : number;
}

/** @returns the boolean in a member, or the fallback. */
inline auto flagIn (const boost::json::object& object, std::string_view name, bool fallback) -> bool
{
    const auto* value = memberOf (object, name);
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

} // namespace snowrudder
