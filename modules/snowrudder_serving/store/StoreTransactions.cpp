#include "StoreTransactions.h"

namespace snowrudder
{

auto makeCreateTransaction (std::string key, std::string value, std::uint64_t lease) -> StoreTransaction
{
    StoreTransaction creation;
    creation.conditions.push_back ({ key, 0 });
    StoredItem item;
    item.key = std::move (key);
    item.value = std::move (value);
    item.lease = lease;
    creation.puts.push_back (std::move (item));
    return creation;
}

auto existingItem (const std::vector<StoredItem>& items) -> const StoredItem*
{
    return items.empty() || items.front().revision == 0 ? nullptr : &items.front();
}

} // namespace snowrudder
