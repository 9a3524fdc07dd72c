#include "LeavingNotice.h"

#include <algorithm>
#include <set>

namespace snowrudder
{

namespace
{

/** @returns the incarnations of which the store says that they are leaving. */
auto leavingByStore (const ReplicaDirectory& directory) -> std::set<std::uint64_t>
{
    std::set<std::uint64_t> incarnations;

    for (const auto& [key, entry] : directory.entries)
        if (entry.isLeaving)
            incarnations.insert (incarnationHash (entry.info));

    return incarnations;
}

} // namespace

auto addLeavingNews (LeavingNews& news, std::uint64_t incarnation, bool isForwarded, TimePoint now) -> void
{
    const auto delay = isForwarded ? Duration::zero() : leavingNewsDelay;
    news.pending.try_emplace (incarnation, LeavingNews::Pending { now + delay, leavingNewsSends });
}

auto takeLeavingNews (LeavingNews& news, const ReplicaDirectory& directory, TimePoint now)
    -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> due;

    if (news.pending.empty())
        return due;

    const auto known = leavingByStore (directory);

    for (auto place = news.pending.begin(); place != news.pending.end();)
    {
        auto& [incarnation, pending] = *place;

        if (known.contains (incarnation) || pending.sendsLeft == 0)
        {
            place = news.pending.erase (place);
            continue;
        }

        if (now >= pending.dueAt)
        {
            due.push_back (incarnation);
            pending.dueAt = now + leavingNewsInterval;
            --pending.sendsLeft;
        }

        ++place;
    }

    return due;
}

auto allLeavingNews (const ReplicaDirectory& directory) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> incarnations;

    if (directory.shownLeaving.empty())
        return incarnations;

    const auto known = leavingByStore (directory);

    for (const auto& [incarnation, shownAt] : directory.shownLeaving)
        if (! known.contains (incarnation))
            incarnations.push_back (incarnation);

    return incarnations;
}

} // namespace snowrudder
