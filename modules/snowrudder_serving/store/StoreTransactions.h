#pragma once

#include "StateStore.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** @returns a transaction that writes an item where there is none under its key.

    @param lease  that the item goes with, or 0
*/
auto makeCreateTransaction (std::string key, std::string value, std::uint64_t lease = 0) -> StoreTransaction;

/** @returns the item that the store has under the one key that was asked for, or nullptr where it has none. */
auto existingItem (const std::vector<StoredItem>& items) -> const StoredItem*;

} // namespace snowrudder
