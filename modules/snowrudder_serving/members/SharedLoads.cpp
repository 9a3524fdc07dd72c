#include "SharedLoads.h"

#include <algorithm>

namespace snowrudder
{

auto SharedLoads::note (const SharedLoad& load, bool isToTell, TimePoint now) -> bool
{
    const auto heard = now - load.age;
    auto& entry = entries[load.replica];

    if (load.age > longestAge || heard <= entry.heard)
        return false;

    entry = { load.running, load.waiting, heard, isToTell };
    return true;
}

auto SharedLoads::takeToTell (TimePoint now) -> std::vector<SharedLoad>
{
    std::vector<SharedLoad> loads;

    for (auto& [replica, entry] : entries)
    {
        if (! entry.isToTell || loads.size() == mostLoads)
            continue;

        entry.isToTell = false;
        loads.push_back (asLoad (replica, entry, now));
    }

    return loads;
}

auto SharedLoads::recent (TimePoint now) -> std::vector<SharedLoad>
{
    std::erase_if (entries, [now] (const auto& known) { return now - known.second.heard > longestAge; });
    std::vector<SharedLoad> loads;

    for (const auto& [replica, entry] : entries)
        loads.push_back (asLoad (replica, entry, now));

    if (loads.size() <= mostLoads)
        return loads;

    std::ranges::nth_element (loads, loads.begin() + mostLoads, {}, &SharedLoad::age);
    loads.resize (mostLoads);
    return loads;
}

auto SharedLoads::asLoad (std::uint32_t replica, const Entry& entry, TimePoint now) -> SharedLoad
{
    return { replica, entry.running, entry.waiting, now - entry.heard };
}

} // namespace snowrudder
