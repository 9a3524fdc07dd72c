#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cstdint>
#include <span>

namespace snowrudder
{

/** Partitions the replicas among requests that must not share any. All routers that know the same requests compute the
    same partitions.

    @param anchor   the request's hash
    @param others   the hashes of all requests that must not share replicas; may hold the request's own
    @param replica  the replica's hash
    @returns        whether the replica belongs to the request's partition
*/
inline auto isInPartition (std::uint64_t anchor, std::span<const std::uint64_t> others, std::uint64_t replica)
    -> bool
{
    const auto own = combineHashes (anchor, replica);
    return std::ranges::none_of (others, [&] (std::uint64_t other)
                                 { return other != anchor && combineHashes (other, replica) > own; });
}

} // namespace snowrudder
