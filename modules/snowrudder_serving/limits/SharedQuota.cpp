#include "SharedQuota.h"

#include <algorithm>
#include <cmath>

namespace snowrudder
{

namespace
{

using Seconds = std::chrono::duration<double>;

/** Each node keeps this part of its even share though it was asked for nothing, so that a first request gets in. */
constexpr auto leastOfEven = 0.25;

/** Of the tokens by which all nodes may go over the limit, the part given out as room for uneven demand. The rest is
    kept for the last request of each node, which may take its bucket below zero.
*/
constexpr auto slackGivenOut = 0.4;

} // namespace

auto quotaShare (double own, const QuotaPart& part) -> double
{
    const auto even = 1.0 / static_cast<double> (std::max<std::size_t> (part.nodes, 1));
    const auto whole = own + part.othersDemand;
    const auto byDemand = whole > 0.0 ? own / whole : even;
    return std::clamp (byDemand, even * leastOfEven, 1.0);
}

auto SharedQuota::admit (const RoutedAccount& account, double tokens, const QuotaPart& part, TimePoint now)
    -> Admission
{
    auto& state = accounts[account.name];
    state.asked = demandOf (state, now) * Seconds (demandTime).count() + tokens;
    state.askedAt = now;

    if (account.tokensPerSecond <= 0.0)
        return { true, {} };

    const auto share = quotaShare (demandOf (state, now), part);
    const auto room = slackGivenOut * part.slack / static_cast<double> (std::max<std::size_t> (part.nodes, 1));
    const auto burst = account.burstTokens * share + room;

    if (state.bucket.filled == TimePoint())
        state.bucket = { 0.0, burst, burst, now };

    state.bucket.rate = account.tokensPerSecond * share;
    refill (state.bucket, now);
    state.bucket.burst = burst;
    state.bucket.level = std::min (state.bucket.level, burst);

    // A request may be larger than a node's whole part, so the bucket may go below zero by one request.
    if (state.bucket.level <= 0.0)
        return { false, timeUntil (state.bucket, tokens * leastOfEven) };

    state.bucket.level -= tokens;
    return { true, {} };
}

auto SharedQuota::demand (const std::string& account, TimePoint now) const -> double
{
    const auto found = accounts.find (account);
    return found == accounts.end() ? 0.0 : demandOf (found->second, now);
}

auto SharedQuota::demandOf (const State& state, TimePoint now) -> double
{
    const auto passed = Seconds (now - state.askedAt);
    return state.asked * std::exp (-passed / Seconds (demandTime)) / Seconds (demandTime).count();
}

} // namespace snowrudder
