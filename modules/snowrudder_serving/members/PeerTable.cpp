#include "PeerTable.h"

#include <algorithm>

namespace snowrudder
{

auto addCounts (AccountCounts& sum, const AccountCounts& more) -> void
{
    for (const auto& [account, count] : more)
        sum[account] += count;
}

auto PeerTable::note (PeerReport report, TimePoint now) -> AccountAmounts
{
    AccountAmounts charged;
    auto& peer = peers[report.node];
    const auto isKnown = peer.heard != TimePoint();
    const auto isSameStart = isKnown && report.incarnation == peer.latest.incarnation;

    if (isKnown && report.incarnation < peer.latest.incarnation)
        return charged;

    if (isSameStart && report.sequence <= peer.latest.sequence)
        return charged;

    if (isKnown && ! isSameStart)
        for (const auto& [window, counts] : peer.latest.usage)
            addCounts (peer.earlierUsage[window], counts);

    const auto sinceStart = std::chrono::duration<double> (std::min (now - startTime, rateTime)).count();

    for (const auto& [account, use] : report.admitted)
        // A node that is not settled has admitted all that it tells of since about the time at which this one started.
        if (isKnown || ! report.isSettled)
            charged[account] = use.tokens - (isSameStart ? peer.latest.admitted[account].tokens : 0.0);
        else if (const auto likely = std::min (use.tokens, use.tokensPerSecond * sinceStart); likely > 0.0)
            charged[account] = likely;

    for (const auto& [account, tokens] : peer.assumed)
        charged[account] -= tokens;

    peer.assumed.clear();
    peer.latest = std::move (report);
    peer.heard = now;
    return charged;
}

auto PeerTable::isFirst (const PeerReport& report) const -> bool
{
    const auto found = peers.find (report.node);
    return found == peers.end() || found->second.latest.incarnation < report.incarnation;
}

auto PeerTable::assumeSilent (Duration passed, TimePoint now) -> AccountAmounts
{
    AccountAmounts charged;

    for (auto& [name, peer] : peers)
    {
        const auto silent = now - peer.heard;

        if (peer.latest.leaving || silent < silentTime || silent > assumedTime)
            continue;

        for (const auto& [account, use] : peer.latest.admitted)
        {
            const auto tokens = use.tokensPerSecond * std::chrono::duration<double> (passed).count();
            charged[account] += tokens;
            peer.assumed[account] += tokens;
        }
    }

    return charged;
}

auto PeerTable::asked (TimePoint now) const -> AccountAmounts
{
    AccountAmounts sum;

    for (const auto& [name, peer] : peers)
        if (now - peer.heard <= heardTime)
            for (const auto& [account, use] : peer.latest.admitted)
                sum[account] += use.askedPerSecond;

    return sum;
}

auto PeerTable::countHeard (TimePoint now) const -> std::size_t
{
    return static_cast<std::size_t> (std::ranges::count_if (
        peers, [now] (const auto& entry)
        { return now - entry.second.heard <= heardTime && ! entry.second.latest.leaving; }));
}

auto PeerTable::work (const std::string& service, TimePoint now) const -> ServiceWork
{
    ServiceWork sum;
    std::vector<double> speeds;

    for (const auto& [name, peer] : peers)
        if (const auto found = peer.latest.work.find (service);
            now - peer.heard <= heardTime && found != peer.latest.work.end())
        {
            sum.tokensPerSecond += found->second.tokensPerSecond;
            sum.inFlight += found->second.inFlight;

            if (found->second.promptSpeed)
                speeds.push_back (*found->second.promptSpeed);
        }

    if (speeds.empty())
        return sum;

    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t> (speeds.size() / 2);
    std::ranges::nth_element (speeds, middle);
    sum.promptSpeed = *middle;
    return sum;
}

auto PeerTable::addUsage (std::uint64_t window, AccountCounts& counts) const -> void
{
    for (const auto& [name, peer] : peers)
    {
        if (const auto found = peer.latest.usage.find (window); found != peer.latest.usage.end())
            addCounts (counts, found->second);

        if (const auto found = peer.earlierUsage.find (window); found != peer.earlierUsage.end())
            addCounts (counts, found->second);
    }
}

auto PeerTable::dropUsageBefore (std::uint64_t window) -> void
{
    for (auto& [name, peer] : peers)
    {
        auto& latest = peer.latest.usage;
        latest.erase (latest.begin(), latest.lower_bound (window));
        auto& earlier = peer.earlierUsage;
        earlier.erase (earlier.begin(), earlier.lower_bound (window));
    }
}

} // namespace snowrudder
