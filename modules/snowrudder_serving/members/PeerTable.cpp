#include "PeerTable.h"

#include <algorithm>
#include <vector>

namespace snowrudder
{

namespace
{

/** @returns the amount of a client account, or zero if there is none. */
auto amountIn (const AccountAmounts& amounts, const std::string& account) -> double
{
    const auto found = amounts.find (account);
    return found == amounts.end() ? 0.0 : found->second;
}

/** Adds amounts of the selected accounts to one figure of each. */
auto addTo (AdmittedByAccount& admitted,
            double AdmittedTokens::*figure,
            const AccountAmounts& amounts,
            const AccountSelection& selection) -> void
{
    for (const auto& [account, amount] : amounts)
        if (selection.contains (account))
            admitted[account].*figure += amount;
}

/** Adds to a report the figures of the accounts outside of its part from the one before. */
auto keepOtherParts (PeerReport& report, PeerReport& before) -> void
{
    if (report.part.count == 1)
        return;

    for (auto& [account, use] : before.admitted)
        if (! isInPart (report.part, account))
            report.admitted.emplace (account, use);
}

/** Raises negative amounts to zero: a sum minus one of its parts may fall below zero by rounding, and because its rates
    are of different ages.
*/
auto clampAmounts (AdmittedByAccount& admitted) -> void
{
    for (auto& [account, use] : admitted)
    {
        use.tokens = std::max (0.0, use.tokens);
        use.tokensPerSecond = std::max (0.0, use.tokensPerSecond);
        use.requestedPerSecond = std::max (0.0, use.requestedPerSecond);
    }
}

/** Adds one peer's work for a service to a sum, and its prompt speed to the values of which the median is taken. */
auto addWork (ServiceWork& sum, const ServiceWork& more, std::vector<double>& speeds) -> void
{
    sum.tokensPerSecond += more.tokensPerSecond;
    sum.inFlight += more.inFlight;

    if (more.promptSpeed)
        speeds.push_back (*more.promptSpeed);
}

auto medianOf (std::vector<double>& values) -> std::optional<double>
{
    if (values.empty())
        return {};

    const auto middle = values.begin() + static_cast<std::ptrdiff_t> (values.size() / 2);
    std::ranges::nth_element (values, middle);
    return *middle;
}

} // namespace

auto PeerTable::record (PeerReport report, TimePoint now) -> AccountAmounts
{
    AccountAmounts charged;
    auto& peer = peers[report.node];
    const auto isKnown = peer.receivedAt != TimePoint();
    const auto isSameStart = isKnown && report.incarnation == peer.latest.incarnation;

    if (isKnown && report.incarnation < peer.latest.incarnation)
        return charged;

    if (isSameStart && ! isNewer (peer, report))
        return charged;

    if (! isSameStart)
        peer.reportedTotals.clear();

    // The totals of a peer that restarted begin at zero, so each counts in full.
    if (isKnown && ! isSameStart)
        peer.knownSlices = slicesOf (AccountPart());

    const auto unknown = std::chrono::duration<double> (std::min (now - knownSince, rateTime)).count();

    for (const auto& [account, use] : report.admitted)
    {
        const auto isCovered = (peer.knownSlices >> sliceOf (account) & 1U) != 0;

        // A peer that isn't settled started at about the same time as this node, so its total counts in full.
        if (isCovered || ! report.isSettled || peer.reportedTotals.contains (account))
            charged[account] = use.tokens - amountIn (peer.reportedTotals, account);
        else if (const auto likely = std::min (use.tokens, use.tokensPerSecond * unknown); likely > 0.0)
            charged[account] = likely;

        peer.reportedTotals[account] = use.tokens;
    }

    const auto slices = slicesOf (report.part);
    const auto isSameRound = isSameStart && report.sequence == peer.latest.sequence;
    peer.latestSlices = isSameRound ? peer.latestSlices | slices : slices;
    peer.knownSlices |= slices;

    if (isSameStart)
        keepOtherParts (report, peer.latest);

    for (const auto& [account, tokens] : peer.assumed)
        charged[account] -= tokens;

    peer.assumed.clear();
    peer.latest = std::move (report);
    peer.receivedAt = now;
    latestReceivedAt = std::max (latestReceivedAt, now);

    for (const auto& [account, tokens] : charged)
        addCharge (peer, account, tokens);

    return charged;
}

auto PeerTable::isFirst (const PeerReport& report) const -> bool
{
    const auto found = peers.find (report.node);
    return found == peers.end() || found->second.latest.incarnation < report.incarnation;
}

auto PeerTable::chargeSilentPeers (Duration passed, TimePoint now) -> AccountAmounts
{
    AccountAmounts charged;

    for (auto& [name, peer] : peers)
    {
        const auto silent = now - peer.receivedAt;

        if (peer.latest.leaving || silent < silentTime || silent > assumedTime)
            continue;

        for (const auto& [account, use] : peer.latest.admitted)
        {
            const auto tokens = use.tokensPerSecond * std::chrono::duration<double> (passed).count();
            charged[account] += tokens;
            peer.assumed[account] += tokens;
            addCharge (peer, account, tokens);
        }
    }

    return charged;
}

auto PeerTable::forgetAll() -> AccountAmounts
{
    AccountAmounts returned;

    for (const auto& [name, peer] : peers)
        for (const auto& [account, tokens] : peer.assumed)
            returned[account] -= tokens;

    // A second call before any report arrives must not lose the demand.
    if (! peers.empty())
    {
        sumDemand (latestReceivedAt);
        formerDemand = std::move (all.demand);
        formerDemandNodes = all.demandNodes;
    }

    knownSince = std::max (knownSince, latestReceivedAt);
    peers.clear();
    all = Sum();
    nodes = Sum();
    return returned;
}

auto PeerTable::requestedRates (TimePoint now) const -> AccountAmounts
{
    AccountAmounts sum;

    for (const auto& [name, peer] : peers)
        if (isRecent (peer, now))
            for (const auto& [account, use] : peer.latest.admitted)
                sum[account] += use.requestedPerSecond;

    return sum;
}

auto PeerTable::countRecentNodes (TimePoint now) const -> std::size_t
{
    auto count = std::size_t { 0 };

    for (const auto& [name, peer] : peers)
        count += countedNodes (peer, now);

    return count;
}

auto PeerTable::work (const std::string& service, TimePoint now) const -> ServiceWork
{
    ServiceWork sum;
    std::vector<double> speeds;

    for (const auto& [name, peer] : peers)
        if (const auto found = peer.latest.work.find (service);
            isRecent (peer, now) && found != peer.latest.work.end())
            addWork (sum, found->second, speeds);

    sum.promptSpeed = medianOf (speeds);
    return sum;
}

auto PeerTable::demand (const std::string& service, TimePoint now) const -> ReportedDemand
{
    ReportedDemand sum;

    if (peers.empty() && now - latestReceivedAt <= recentTime)
    {
        const auto former = formerDemand.find (service);
        sum.requestsPerSecond = former == formerDemand.end() ? 0.0 : former->second;
        sum.nodes = formerDemandNodes;
        return sum;
    }

    for (const auto& [name, peer] : peers)
    {
        sum.nodes += demandNodesOf (peer, now);

        if (const auto found = peer.latest.work.find (service);
            isDemandKept (peer, now) && found != peer.latest.work.end())
            sum.requestsPerSecond += found->second.requestsPerSecond;
    }

    return sum;
}

auto PeerTable::refreshRates (TimePoint now) -> void
{
    sumDemand (now);

    for (auto* sum : { &all, &nodes })
    {
        sum->perSecond.clear();
        sum->requestedRates.clear();
    }

    for (const auto& [name, peer] : peers)
    {
        if (! isRecent (peer, now))
            continue;

        addRates (all, peer);

        if (peer.latest.scope == ReportScope::node)
            addRates (nodes, peer);
    }
}

auto PeerTable::withNodes (PeerReport own, TimePoint now) const -> PeerReport
{
    own.scope = ReportScope::nodesOfReader;
    own.demandNodes = 1;
    const AccountSelection everything;
    addTo (own.admitted, &AdmittedTokens::tokens, nodes.charged, everything);
    addTo (own.admitted, &AdmittedTokens::tokensPerSecond, nodes.perSecond, everything);
    addTo (own.admitted, &AdmittedTokens::requestedPerSecond, nodes.requestedRates, everything);
    clampAmounts (own.admitted);
    std::map<std::string, std::vector<double>, std::less<>> speeds;

    for (auto& [service, work] : own.work)
        if (work.promptSpeed)
            speeds[service].push_back (*work.promptSpeed);

    for (const auto& [name, peer] : peers)
    {
        if (peer.latest.scope != ReportScope::node)
            continue;

        own.nodes += countedNodes (peer, now);
        *own.demandNodes += demandNodesOf (peer, now);

        if (isRecent (peer, now))
            for (const auto& [service, work] : peer.latest.work)
                addWork (own.work[service], work, speeds[service]);

        if (isDemandKept (peer, now))
            for (const auto& [service, work] : peer.latest.work)
                own.work[service].requestsPerSecond += work.requestsPerSecond;
    }

    for (auto& [service, ofService] : speeds)
        own.work[service].promptSpeed = medianOf (ofService);

    return own;
}

auto PeerTable::withAllBut (PeerReport own,
                            std::string_view requester,
                            TimePoint now,
                            const AccountSelection& selection) const -> PeerReport
{
    own.scope = ReportScope::allOthers;
    own.part = selection.part;
    const auto found = peers.find (requester);
    const auto* asking = found == peers.end() ? nullptr : &found->second;
    setDemandOfAllBut (own, asking);
    own.nodes = static_cast<std::uint32_t> (countRecentNodes (now) + 1);
    addTo (own.admitted, &AdmittedTokens::tokens, all.charged, selection);
    addTo (own.admitted, &AdmittedTokens::tokensPerSecond, all.perSecond, selection);
    addTo (own.admitted, &AdmittedTokens::requestedPerSecond, all.requestedRates, selection);

    if (asking != nullptr)
    {
        const auto& peer = *asking;
        own.nodes -= countedNodes (peer, now);

        for (const auto& [account, tokens] : peer.charged)
            if (selection.contains (account))
                own.admitted[account].tokens -= tokens;

        for (const auto& [account, use] : peer.latest.admitted)
            if (selection.contains (account))
            {
                own.admitted[account].tokensPerSecond -= use.tokensPerSecond;
                own.admitted[account].requestedPerSecond -= use.requestedPerSecond;
            }
    }

    clampAmounts (own.admitted);
    return own;
}

/** @returns whether a report of the same start is not older than the latest one, nor a part that was received already.
 */
auto PeerTable::isNewer (const Peer& peer, const PeerReport& report) -> bool
{
    if (report.sequence != peer.latest.sequence)
        return report.sequence > peer.latest.sequence;

    return (peer.latestSlices & slicesOf (report.part)) == 0;
}

auto PeerTable::isRecent (const Peer& peer, TimePoint now) -> bool
{
    return now - peer.receivedAt <= recentTime;
}

auto PeerTable::countedNodes (const Peer& peer, TimePoint now) -> std::uint32_t
{
    return isRecent (peer, now) && ! peer.latest.leaving ? peer.latest.nodes : 0;
}

auto PeerTable::isDemandKept (const Peer& peer, TimePoint now) -> bool
{
    return now - peer.receivedAt <= demandKeptTime;
}

auto PeerTable::demandNodesOf (const Peer& peer, TimePoint now) -> std::uint32_t
{
    return std::min (peer.latest.demandNodes.value_or (0), countedNodes (peer, now));
}

auto PeerTable::sumDemand (TimePoint now) -> void
{
    all.demand.clear();
    all.demandNodes = 0;

    for (auto& [name, peer] : peers)
    {
        peer.summedDemand.clear();
        peer.summedDemandNodes = demandNodesOf (peer, now);
        all.demandNodes += peer.summedDemandNodes;

        if (! isDemandKept (peer, now))
            continue;

        for (const auto& [service, work] : peer.latest.work)
        {
            peer.summedDemand[service] = work.requestsPerSecond;
            all.demand[service] += work.requestsPerSecond;
        }
    }
}

/** Replaces the work in this node's report by the demand of all nodes but one. */
auto PeerTable::setDemandOfAllBut (PeerReport& own, const Peer* requester) const -> void
{
    std::map<std::string, ServiceWork, std::less<>> demand;

    for (const auto& [service, work] : own.work)
        demand[service].requestsPerSecond = work.requestsPerSecond;

    for (const auto& [service, perSecond] : all.demand)
        demand[service].requestsPerSecond += perSecond;

    own.demandNodes = all.demandNodes + 1;

    if (requester != nullptr)
    {
        *own.demandNodes -= requester->summedDemandNodes;

        for (const auto& [service, perSecond] : requester->summedDemand)
            demand[service].requestsPerSecond = std::max (0.0, demand[service].requestsPerSecond - perSecond);
    }

    own.work = std::move (demand);
}

auto PeerTable::addCharge (Peer& peer, const std::string& account, double tokens) -> void
{
    peer.charged[account] += tokens;
    all.charged[account] += tokens;

    if (peer.latest.scope == ReportScope::node)
        nodes.charged[account] += tokens;
}

auto PeerTable::addRates (Sum& sum, const Peer& peer) const -> void
{
    for (const auto& [account, use] : peer.latest.admitted)
    {
        sum.perSecond[account] += use.tokensPerSecond;
        sum.requestedRates[account] += use.requestedPerSecond;
    }
}

} // namespace snowrudder
