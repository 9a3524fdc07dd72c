#pragma once

#include "ListPages.h"
#include "StoreFollowers.h"

#include <limits>
#include <vector>

namespace snowrudder
{

/** From what time on the replicas of a list or a snapshot are used before it has ended. One of some thousands takes less, and requests
    that only go to its first replicas would be too many for them.
*/
inline constexpr auto earlyUseInterval = Duration (500ms);

/** Applies changes from a watch of the replicas to the directory, except for its revision. */
auto applyEvents (ServingState& state, const StoreFormats& formats, const std::vector<StoredItem>& items)
    -> void;

/** Lists the replicas, and applies each page to the directory as it arrives. During a long list the changes since its
    beginning are applied as well, as the store may keep its history for less time than the list takes. Its replicas are used
    at the end, and from `earlyUseInterval` on; those of `mostPages` alone only then.

    @param mostPages  how many pages are read at most
*/
auto listReplicas (ServingState& state,
                   const StateStore& store,
                   const StoreFormats& formats,
                   ListReason reason,
                   std::size_t mostPages = std::numeric_limits<std::size_t>::max()) -> Task<ListEnd>;

} // namespace snowrudder
