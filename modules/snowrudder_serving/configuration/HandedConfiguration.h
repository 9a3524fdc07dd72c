#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** The largest configuration that nodes hand on, in bytes: its text as it is stored. */
inline constexpr auto maxHandedText = std::size_t { 16 * 1024 * 1024 };

/** A configuration as nodes hand it on: its stored text, compressed. */
struct HandedConfiguration
{
    std::uint64_t revision = 0;
    std::string bytes;
    /** Hash of `bytes`. */
    std::uint64_t hash = 0;
};

/** @returns a stored configuration as it is handed on. `bytes` is empty if it is too large. */
auto packConfiguration (std::string_view text, std::uint64_t revision) -> HandedConfiguration;

/** @returns the stored text, or nothing if `bytes` are not what packConfiguration() made. */
auto unpackConfiguration (std::string_view bytes) -> std::optional<std::string>;

} // namespace snowrudder
