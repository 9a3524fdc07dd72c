#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace snowrudder
{

/** A 128-bit hash that identifies a request by its content: equal content has the same fingerprint on every node and on
    every arrival. Zero means that the request has no fingerprint.
*/
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator== (const RequestFingerprint&) const -> bool = default;

    [[nodiscard]] auto isKnown() const -> bool { return high != 0 || low != 0; }
};

/** Hash function for containers keyed by fingerprint. Half of the fingerprint is used as it is, since it is a hash
    already.
*/
struct FingerprintHash
{
    auto operator() (const RequestFingerprint& request) const -> std::size_t { return request.low; }
};

/** @returns the hash by which replicas are ranked for a request; the same on every node. */
inline auto rankingHash (const RequestFingerprint& request) -> std::uint64_t
{
    return combineHashes (request.high, request.low);
}

/** The parts of a request that its fingerprint covers: two requests are the same when all of them are equal. */
struct RequestContent
{
    std::string_view account;
    std::string_view method;
    std::string_view host;
    /** Path and query. */
    std::string_view target;
    std::string_view body;
};

/** @returns the SipHash-128 of a request's content, keyed by the secret, so that callers can't construct collisions.

    @param secret  shared by the nodes of the fleet; an empty one yields no fingerprint
*/
auto fingerprintOf (std::string_view secret, const RequestContent& content) -> RequestFingerprint;

/** @returns the fingerprint as 32 hexadecimal digits. */
auto toString (const RequestFingerprint& fingerprint) -> std::string;

/** @returns the fingerprints of a prompt's parts for the log, separated by commas; without their first halves, which
    stand for the service. `none` if there are none.
*/
auto toString (std::span<const RequestFingerprint> parts) -> std::string;

} // namespace snowrudder
