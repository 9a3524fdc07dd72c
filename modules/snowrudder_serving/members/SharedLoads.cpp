#include "SharedLoads.h"

#include <algorithm>

namespace snowrudder
{

auto SharedLoads::record (const SharedLoad& load, bool shouldForward, TimePoint now) -> bool
{
    const auto receivedAt = now - load.age;
    auto& entry = entries[load.replica];

    if (load.age > maxLoadAge || receivedAt <= entry.receivedAt)
        return false;

    entry = { load.running, load.waiting,   receivedAt,         shouldForward,
              load.hasLoad, load.rateLimit, load.rejectionLimit };
    return true;
}

auto SharedLoads::takeForwardable (TimePoint now) -> std::vector<SharedLoad>
{
    std::vector<SharedLoad> loads;

    for (auto& [replica, entry] : entries)
    {
        if (! entry.shouldForward || loads.size() == maxLoads)
            continue;

        entry.shouldForward = false;
        loads.push_back (asLoad (replica, entry, now));
    }

    return loads;
}

auto SharedLoads::recent (TimePoint now) -> std::vector<SharedLoad>
{
    std::erase_if (entries, [now] (const auto& known) { return now - known.second.receivedAt > maxLoadAge; });
    std::vector<SharedLoad> loads;

    for (const auto& [replica, entry] : entries)
        loads.push_back (asLoad (replica, entry, now));

    if (loads.size() <= maxLoads)
        return loads;

    const auto rank = [] (const SharedLoad& load)
    { return std::pair (! load.rateLimit && ! load.rejectionLimit, load.age); };
    std::ranges::nth_element (loads, loads.begin() + maxLoads, {}, rank);
    loads.resize (maxLoads);
    return loads;
}

auto SharedLoads::asLoad (std::uint32_t replica, const Entry& entry, TimePoint now) -> SharedLoad
{
    return { replica,       entry.running,   entry.waiting,       now - entry.receivedAt,
             entry.hasLoad, entry.rateLimit, entry.rejectionLimit };
}

} // namespace snowrudder
