#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Fast non-cryptographic 64-bit hash (XXH3), the same on every node. Not suitable for keys or signatures.

    @param data  the bytes to hash
    @param seed  different seeds give unrelated hashes
*/
auto hashBytes (std::string_view data, std::uint64_t seed = 0) -> std::uint64_t;

/** @returns a hash of two hashes, which depends on their order. */
auto combineHashes (std::uint64_t first, std::uint64_t second) -> std::uint64_t;

/** @returns the SHA-256 digest as 64 hexadecimal digits. Used for bearer keys. */
auto sha256Hex (std::string_view data) -> std::string;

} // namespace snowrudder
