#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Names a request by its content: the same content has the same fingerprint at every node and each time that it comes.
    Zero stands for a request that has none.
*/
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator== (const RequestFingerprint&) const -> bool = default;

    [[nodiscard]] auto isKnown() const -> bool { return high != 0 || low != 0; }
};

/** For tables by fingerprint: each part of one is a hash already. */
struct FingerprintHash
{
    auto operator() (const RequestFingerprint& request) const -> std::size_t { return request.low; }
};

/** @returns the hash by which replicas are ranked for a request. */
inline auto rankingHash (const RequestFingerprint& request) -> std::uint64_t
{
    return combineHashes (request.high, request.low);
}

/** What makes two requests the same. */
struct RequestContent
{
    std::string_view account;
    std::string_view method;
    std::string_view host;
    /** With its query. */
    std::string_view target;
    std::string_view body;
};

/** @returns SipHash-128 of a request's content. Who does not know the secret can't make two requests look alike.

    @param secret  the fleet's own; without one there is no fingerprint
*/
auto fingerprintOf (std::string_view secret, const RequestContent& content) -> RequestFingerprint;

/** @returns 32 hexadecimal digits. */
auto toString (const RequestFingerprint& fingerprint) -> std::string;

} // namespace snowrudder
