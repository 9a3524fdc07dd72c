#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace snowrudder
{

/** Identifies a stream by the attempt of its caller that brought the first event, within a client account and a path: callers
    of two accounts may use the same identifiers.
*/
using StreamKey = std::uint64_t;

/** The attempt of a caller that began a stream. */
struct StreamName
{
    std::string_view account;
    std::string_view host;
    std::string_view path;
    /** Identifier of the attempt. */
    std::string_view request;
};

/** @param secret  the secret that all nodes share, so that callers can't construct two names with the same key */
inline auto streamKey (std::string_view secret, const StreamName& name) -> StreamKey
{
    auto key = hashBytes (secret);

    for (const auto part : { name.account, name.host, name.path, name.request })
        key = combineHashes (key, hashBytes (part, key));

    return key;
}

/** What began a stream, in the short form in which nodes tell each other. */
struct StreamOrigin
{
    /** From versionHash(). */
    std::uint32_t version = 0;
    /** From shortReplicaHash(). */
    std::uint16_t replica = 0;

    auto operator<=> (const StreamOrigin&) const = default;
};

/** @returns a hash that identifies a software version of a service. */
inline auto versionHash (std::string_view service, std::string_view version) -> std::uint32_t
{
    return static_cast<std::uint32_t> (hashBytes (version, hashBytes (service)));
}

/** @returns a hash of a replica's name. It only serves to recognise names that were used for two versions, where a
    collision costs no more than a refusal.
*/
inline auto shortReplicaHash (std::string_view name) -> std::uint16_t
{
    return static_cast<std::uint16_t> (hashBytes (name));
}

/** How long after its first event a stream can be taken up: four times in a row, each within 30 s. */
inline constexpr auto streamMemory = Duration (120s);

} // namespace snowrudder
