#pragma once

#include "StateStore.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** @returns a transaction that creates an item if its key does not exist.

    @param lease  the lease that the item is attached to, or 0
*/
auto makeCreateTransaction (std::string key, std::string value, std::uint64_t lease = 0) -> StoreTransaction;

/** @returns the item from the result of a call on a single key, or nullptr where the key does not exist. */
auto existingItem (const std::vector<StoredItem>& items) -> const StoredItem*;

} // namespace snowrudder
