#include "RequestId.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto maxNameLength = std::size_t { 63 };

auto isNameCharacter (char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
           character == '-';
}

} // namespace

auto toString (const RequestId& id) -> std::string
{
    return id.node + "." + toString (id.uuid);
}

auto parseRequestId (std::string_view text) -> std::optional<RequestId>
{
    const auto dot = text.find ('.');

    if (dot == std::string_view::npos || ! isValidName (text.substr (0, dot)))
        return {};

    const auto uuid = parseUuid (text.substr (dot + 1));

    if (! uuid)
        return {};

    return RequestId { std::string (text.substr (0, dot)), *uuid };
}

auto isValidName (std::string_view text) -> bool
{
    return ! text.empty() && text.size() <= maxNameLength && std::ranges::all_of (text, isNameCharacter);
}

} // namespace snowrudder
