#pragma once

#include "ListPages.h"
#include "StoreFollowers.h"

#include <limits>
#include <vector>

namespace snowrudder
{

/** Applies changes from a watch of the replicas to the directory, except for its revision. */
auto applyEvents (ServingState& state, const StoreFormats& formats, const std::vector<StoredItem>& items)
    -> void;

/** Lists the replicas, and applies each page to the directory as it arrives. During a long list the changes since its
    beginning are applied as well, as the store may keep its history for less time than the list takes.

    @param mostPages  how many pages are read at most
*/
auto listReplicas (ServingState& state,
                   const StateStore& store,
                   const StoreFormats& formats,
                   ListReason reason,
                   std::size_t mostPages = std::numeric_limits<std::size_t>::max()) -> Task<ListEnd>;

} // namespace snowrudder
