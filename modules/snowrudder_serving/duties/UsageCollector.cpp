#include "UsageCollector.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

auto dropWindows (CountsByWindow& counts, std::uint64_t before) -> void
{
    counts.erase (counts.begin(), counts.lower_bound (before));
}

auto addWindow (AccountCounts& sum, const CountsByWindow& counts, std::uint64_t window) -> void
{
    if (const auto found = counts.find (window); found != counts.end())
        addCounts (sum, found->second);
}

} // namespace

auto addCounts (AccountCounts& sum, const AccountCounts& more) -> void
{
    for (const auto& [account, count] : more)
        sum[account] += count;
}

auto mergeGreaterCounts (AccountCounts& counts, const AccountCounts& others) -> void
{
    for (const auto& [account, count] : others)
    {
        auto& known = counts[account];
        known = std::max (known, count);
    }
}

auto UsageCollector::record (const UsageNotice& notice) -> void
{
    if (! notice.domain.empty())
    {
        for (const auto& [window, counts] : notice.counts)
            mergeGreaterCounts (domains[notice.domain][window], counts);

        return;
    }

    auto& node = nodes[notice.node];

    if (notice.incarnation < node.incarnation)
        return;

    if (notice.incarnation > node.incarnation)
    {
        for (const auto& [window, counts] : node.counts)
            addCounts (node.countsOfEarlierStarts[window], counts);

        node.counts.clear();
        node.incarnation = notice.incarnation;
    }

    for (const auto& [window, counts] : notice.counts)
        mergeGreaterCounts (node.counts[window], counts);
}

auto UsageCollector::countsOfDomain (std::uint64_t window, const AccountCounts& own) const -> AccountCounts
{
    auto sum = own;

    for (const auto& [name, node] : nodes)
    {
        addWindow (sum, node.counts, window);
        addWindow (sum, node.countsOfEarlierStarts, window);
    }

    if (const auto received = domains.find (ownDomain); received != domains.end())
        if (const auto counts = received->second.find (window); counts != received->second.end())
            mergeGreaterCounts (sum, counts->second);

    return sum;
}

auto UsageCollector::countsOfAllNodes (std::uint64_t window, const AccountCounts& own) const -> AccountCounts
{
    auto sum = countsOfDomain (window, own);

    for (const auto& [domain, counts] : domains)
        if (domain != ownDomain)
            addWindow (sum, counts, window);

    return sum;
}

auto UsageCollector::recentDomainCounts (const UsageWindows& own, Duration time) const -> CountsByWindow
{
    CountsByWindow recent;

    const auto addRecent = [&] (const CountsByWindow& counts)
    {
        for (const auto& [window, ofWindow] : counts)
            if (own.endOf (window) > time)
                recent.try_emplace (window);
    };

    addRecent (own.counts());

    for (const auto& [name, node] : nodes)
    {
        addRecent (node.counts);
        addRecent (node.countsOfEarlierStarts);
    }

    for (auto& [window, counts] : recent)
        counts = countsOfDomain (window, own.countsOf (window));

    return recent;
}

auto UsageCollector::oldestWindow() const -> std::optional<std::uint64_t>
{
    std::optional<std::uint64_t> oldest;

    const auto updateOldest = [&oldest] (const CountsByWindow& counts)
    {
        if (! counts.empty())
            oldest = std::min (oldest.value_or (counts.begin()->first), counts.begin()->first);
    };

    for (const auto& [name, node] : nodes)
    {
        updateOldest (node.counts);
        updateOldest (node.countsOfEarlierStarts);
    }

    for (const auto& [domain, counts] : domains)
        updateOldest (counts);

    return oldest;
}

auto UsageCollector::dropBefore (std::uint64_t window) -> void
{
    for (auto& [name, node] : nodes)
    {
        dropWindows (node.counts, window);
        dropWindows (node.countsOfEarlierStarts, window);
    }

    for (auto& [domain, counts] : domains)
        dropWindows (counts, window);
}

} // namespace snowrudder
