#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Appends a byte as two lower-case hexadecimal digits. */
inline auto appendHex (std::string& text, std::uint8_t byte) -> void
{
    constexpr auto digits = std::string_view ("0123456789abcdef");
    text += digits[byte >> 4];
    text += digits[byte & 0x0f];
}

} // namespace snowrudder
