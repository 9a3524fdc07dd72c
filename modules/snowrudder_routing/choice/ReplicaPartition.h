#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cstdint>
#include <span>

namespace snowrudder
{

/** Splits replicas among requests that are to run apart. All routers that know the same requests split alike.

    @param anchor   the request's hash
    @param others   those of all requests that are to run apart; may hold its own
    @param replica  the replica's hash
    @returns        whether the replica belongs to the request's part
*/
inline auto isInPartition (std::uint64_t anchor, std::span<const std::uint64_t> others, std::uint64_t replica)
    -> bool
{
    const auto own = combineHashes (anchor, replica);
    return std::ranges::none_of (others, [&] (std::uint64_t other)
                                 { return other != anchor && combineHashes (other, replica) > own; });
}

} // namespace snowrudder
