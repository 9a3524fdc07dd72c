#include "Uuid.h"

#include "Hex.h"

#include <openssl/rand.h>

#include <cstring>

namespace snowrudder
{

namespace
{

constexpr auto textLength = std::size_t { 36 };
constexpr auto timeBytes = 6;

/** Fills a buffer with random bytes from a pool per thread, so that one system call serves many identifiers. */
auto fillRandom (std::uint8_t* target, std::size_t count) -> void
{
    constexpr auto poolSize = std::size_t { 4096 };
    thread_local std::array<std::uint8_t, poolSize> pool;
    thread_local auto used = poolSize;

    if (used + count > poolSize)
    {
        RAND_bytes (pool.data(), static_cast<int> (poolSize));
        used = 0;
    }

    std::memcpy (target, pool.data() + used, count);
    used += count;
}

auto hexValue (char character) -> int
{
    if (character >= '0' && character <= '9')
        return character - '0';

    if (character >= 'a' && character <= 'f')
        return character - 'a' + 10;

    if (character >= 'A' && character <= 'F')
        return character - 'A' + 10;

    return -1;
}

auto isDashPosition (std::size_t position) -> bool
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

} // namespace

auto makeUuid (WallTime time) -> Uuid
{
    Uuid uuid;
    fillRandom (uuid.bytes.data(), uuid.bytes.size());

    auto milliseconds = static_cast<std::uint64_t> (time.time_since_epoch().count());

    for (auto index = timeBytes - 1; index >= 0; --index)
    {
        uuid.bytes[static_cast<std::size_t> (index)] = static_cast<std::uint8_t> (milliseconds & 0xff);
        milliseconds >>= 8;
    }

    uuid.bytes[6] = static_cast<std::uint8_t> ((uuid.bytes[6] & 0x0f) | 0x70);
    uuid.bytes[8] = static_cast<std::uint8_t> ((uuid.bytes[8] & 0x3f) | 0x80);
    return uuid;
}

auto parseUuid (std::string_view text) -> std::optional<Uuid>
{
    if (text.size() != textLength)
        return {};

    Uuid uuid;
    auto digit = std::size_t { 0 };

    for (auto position = std::size_t { 0 }; position < textLength; ++position)
    {
        if (isDashPosition (position))
        {
            if (text[position] != '-')
                return {};

            continue;
        }

        const auto value = hexValue (text[position]);

        if (value < 0)
            return {};

        auto& byte = uuid.bytes[digit / 2];
        byte = static_cast<std::uint8_t> (byte << 4 | value);
        ++digit;
    }

    const auto isVersion7 = (uuid.bytes[6] & 0xf0) == 0x70;
    const auto isVariant1 = (uuid.bytes[8] & 0xc0) == 0x80;

    if (! isVersion7 || ! isVariant1)
        return {};

    return uuid;
}

auto toString (const Uuid& uuid) -> std::string
{
    std::string text;
    text.reserve (textLength);

    for (const auto byte : uuid.bytes)
    {
        if (isDashPosition (text.size()))
            text += '-';

        appendHex (text, byte);
    }

    return text;
}

auto timeOf (const Uuid& uuid) -> WallTime
{
    auto milliseconds = std::uint64_t { 0 };

    for (auto index = std::size_t { 0 }; index < timeBytes; ++index)
        milliseconds = milliseconds << 8 | uuid.bytes[index];

    return WallTime (std::chrono::milliseconds (milliseconds));
}

} // namespace snowrudder
