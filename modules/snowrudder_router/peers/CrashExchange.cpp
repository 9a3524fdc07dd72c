#include "CrashExchange.h"

#include "PeerCalls.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto compareInterval = 1s;
constexpr auto tellInterval = 60ms;
constexpr auto answerTime = 1s;

/** Comparisons that a router makes after its start, whether it knows of crashes or not. */
constexpr auto comparisonsAtStart = 5;

auto tell (RouterState& state, Worker& worker, const schema::Peer& peer, const std::string& told)
    -> Task<void>
{
    const CallTimeouts timeouts { answerTime, answerTime, answerTime };
    auto request = makeRequest (http::verb::post, crashesTarget, told);
    const auto answer = co_await callPeer (state, worker, peer.endpoint(), std::move (request), timeouts);

    if (answer.hasSucceeded())
        exchangeCrashes (state, answer.body);
}

auto encoded (RouterState& state, std::vector<CrashEvidence> evidence, TimePoint now) -> std::string
{
    return encodeCrashes ({ state.settings.node().name(), std::move (evidence) }, now);
}

auto tellAll (RouterState& state, Worker& worker, const std::string& told) -> Task<void>
{
    const auto& peers = state.settings.peers();
    const auto tellOne = [&] (std::size_t index)
    { return tell (state, worker, peers[static_cast<int> (index)], told); };
    co_await runAll (worker.loop, static_cast<std::size_t> (peers.size()), tellOne);
}

auto compareWithOne (RouterState& state, Worker& worker, TimePoint now) -> Task<void>
{
    const auto peers = state.settings.peers_size();
    const auto drawn = std::min (static_cast<int> (randomFraction() * peers), peers - 1);
    const auto known = encoded (state, state.crashes.table().all (mostEvidenceTold, now), now);
    co_await tell (state, worker, state.settings.peers (drawn), known);
}

} // namespace

auto spreadCrashes (RouterState& state, Worker& worker, std::shared_ptr<Signal> wake) -> Task<void>
{
    if (state.settings.peers_size() == 0)
        co_return;

    auto comparisonsLeft = comparisonsAtStart;

    for (;;)
    {
        const auto now = SteadyClock::now();
        auto news = state.crashes.table().takeToTell (mostEvidenceTold);

        if (! news.empty())
        {
            co_await tellAll (state, worker, encoded (state, std::move (news), now));
            co_await pauseFor (worker.loop, tellInterval);
            continue;
        }

        if (comparisonsLeft > 0 || state.crashes.table().digest (now) != 0)
        {
            comparisonsLeft = std::max (0, comparisonsLeft - 1);
            co_await compareWithOne (state, worker, now);
        }

        co_await wake->wait (SteadyClock::now() + compareInterval);
    }
}

auto exchangeCrashes (RouterState& state, const std::string& message) -> std::optional<std::string>
{
    const auto now = SteadyClock::now();
    const auto heard = decodeCrashes (message, now);

    if (! heard)
        return {};

    // All routers are told directly by the one that saw a crash.
    const auto isToTell = false;
    state.crashes.hear (heard->evidence, heard->node, isToTell, now);
    return encoded (state, state.crashes.table().all (mostEvidenceTold, now), now);
}

} // namespace snowrudder
