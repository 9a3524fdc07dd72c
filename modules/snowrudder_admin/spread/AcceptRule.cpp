#include "AcceptRule.h"

#include <algorithm>
#include <set>

namespace snowrudder
{

auto isAccepted (std::span<const RouterRevision> routers, std::uint64_t revision) -> bool
{
    constexpr auto requiredCount = std::size_t { 2 };
    std::set<std::string> allDomains;
    std::set<std::string> holdingDomains;
    auto holders = std::size_t { 0 };

    for (const auto& router : routers)
    {
        allDomains.insert (router.failureDomain);

        if (router.revision < revision)
            continue;

        holdingDomains.insert (router.failureDomain);
        ++holders;
    }

    return holders >= std::min (requiredCount, std::max<std::size_t> (routers.size(), 1)) &&
           holdingDomains.size() >= std::min (requiredCount, allDomains.size());
}

} // namespace snowrudder
