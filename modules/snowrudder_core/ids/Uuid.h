#pragma once

#include "../time/Time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** A version 7 UUID: 48 bits of wall time in milliseconds, then random bits (RFC 9562). */
struct Uuid
{
    std::array<std::uint8_t, 16> bytes {};

    friend auto operator== (const Uuid&, const Uuid&) -> bool = default;
    friend auto operator<=> (const Uuid&, const Uuid&) = default; // NOLINT(modernize-use-nullptr)
};

/** @returns a new UUIDv7 with the given time and random bits from the operating system. */
auto makeUuid (WallTime time) -> Uuid;

/** Parses a UUIDv7 in the standard form of 36 characters, in either case.

    @returns the UUID, or nothing when the text has another form, version or variant
*/
auto parseUuid (std::string_view text) -> std::optional<Uuid>;

/** @returns the standard lower-case form of 36 characters. */
auto toString (const Uuid& uuid) -> std::string;

/** @returns the wall time in a UUIDv7. */
auto timeOf (const Uuid& uuid) -> WallTime;

} // namespace snowrudder
