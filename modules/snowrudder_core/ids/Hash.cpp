#include "Hash.h"

#include "Hex.h"

#define XXH_INLINE_ALL
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace snowrudder
{

auto hashBytes (std::string_view data, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed (data.data(), data.size(), seed);
}

auto combineHashes (std::uint64_t first, std::uint64_t second) -> std::uint64_t
{
    return XXH3_64bits_withSeed (&second, sizeof (second), first);
}

auto sha256Hex (std::string_view data) -> std::string
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
    SHA256 (reinterpret_cast<const unsigned char*> (data.data()), data.size(), digest.data());

    std::string text;

    for (const auto byte : digest)
        appendHex (text, byte);

    return text;
}

} // namespace snowrudder
