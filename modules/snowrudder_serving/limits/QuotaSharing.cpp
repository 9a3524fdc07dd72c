#include "QuotaSharing.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** Member count assumed until the store lists the members: any number of nodes of a large fleet may be starting
    together.
*/
constexpr auto assumedMemberCount = std::size_t { 100 };

/** Nodes that start together list each other after two member lists, at most 2 s apart, plus one stale list. */
constexpr auto startUpTime = Duration (3s);

/** Fraction of the other nodes whose reports make this node settled. Less than all, since some nodes may stay down. */
constexpr auto settledPeerShare = 0.9;

auto countMembers (const QuotaSharing& sharing) -> std::size_t
{
    return std::max<std::size_t> (sharing.members.value_or (assumedMemberCount), 1);
}

auto receivesFromNearlyAll (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> bool
{
    const auto others = static_cast<double> (countMembers (sharing) - 1);
    return sharing.members && static_cast<double> (peers.countRecentNodes (now)) >= settledPeerShare * others;
}

} // namespace

auto lacksLevels (const QuotaSharing& sharing, const AccountPart& part, bool isSettledNow) -> bool
{
    return ! isSettledNow || (sharing.hasAdoptedLevels && (slicesOf (part) & ~sharing.adoptedSlices) != 0);
}

auto isRecentlyStarted (const QuotaSharing& sharing, TimePoint now) -> bool
{
    return now - sharing.startTime < startUpTime;
}

auto quotaShare (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> double
{
    const auto members = countMembers (sharing);
    return 2 * peers.countRecentNodes (now) >= members - 1 ? 1.0 : 1.0 / static_cast<double> (members);
}

auto remainingSettlingTime (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> Duration
{
    const auto left = sharing.startTime + reportDelay (countMembers (sharing)) - now;

    if (left <= Duration::zero() || sharing.hasAdoptedLevels || receivesFromNearlyAll (sharing, peers, now))
        return Duration::zero();

    return left;
}

auto isSettled (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> bool
{
    return remainingSettlingTime (sharing, peers, now) == Duration::zero();
}

auto quotaBounds (const QuotaSharing& sharing,
                  const PeerTable& peers,
                  const QuotaTolerance& tolerance,
                  double draw,
                  TimePoint now) -> QuotaBounds
{
    const auto members = countMembers (sharing);
    const auto delay = reportDelay (members);
    QuotaBounds bounds;
    bounds.tolerance = tolerance;
    bounds.share = quotaShare (sharing, peers, now);
    bounds.equalShare = 1.0 / static_cast<double> (members);
    bounds.reportDelay = delay;
    bounds.unsettled = remainingSettlingTime (sharing, peers, now);
    bounds.draw = draw;
    bounds.admissionsKnownSince = sharing.startTime + delay;
    return bounds;
}

auto demandOfOthers (const QuotaSharing& sharing, const PeerTable& peers, TimePoint now) -> AccountAmounts
{
    auto demand = peers.requestedRates (now);
    const auto reporting = std::max<std::size_t> (peers.countRecentNodes (now), 1);
    const auto others = std::max (countMembers (sharing), reporting + 1) - 1;

    for (auto& [account, tokensPerSecond] : demand)
        tokensPerSecond *= static_cast<double> (others) / static_cast<double> (reporting);

    return demand;
}

} // namespace snowrudder
