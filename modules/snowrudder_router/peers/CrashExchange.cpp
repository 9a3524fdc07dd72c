#include "CrashExchange.h"

#include "PeerCalls.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto compareInterval = 1s;
constexpr auto announceInterval = 60ms;
constexpr auto responseTimeout = 1s;

/** Number of comparisons that a router makes after its start even if it has no crash evidence. */
constexpr auto initialComparisons = 5;

auto sendEvidence (RouterState& state,
                   Worker& worker,
                   const schema::Peer& peer,
                   const std::string& encodedEvidence) -> Task<void>
{
    const CallTimeouts timeouts { responseTimeout, responseTimeout, responseTimeout };
    auto request = makeRequest (http::verb::post, crashesTarget, encodedEvidence);
    const auto answer = co_await callPeer (state, worker, peer.endpoint(), std::move (request), timeouts);

    if (answer.hasSucceeded())
        exchangeCrashes (state, answer.body);
}

auto encodeEvidence (RouterState& state, std::vector<CrashEvidence> evidence, TimePoint now) -> std::string
{
    return encodeCrashes ({ state.settings.node().name(), std::move (evidence) }, now);
}

auto announceEvidence (RouterState& state, Worker& worker, const std::string& encodedEvidence) -> Task<void>
{
    const auto& peers = state.settings.peers();
    const auto sendToOne = [&] (std::size_t index)
    { return sendEvidence (state, worker, peers[static_cast<int> (index)], encodedEvidence); };
    co_await runAll (worker.loop, static_cast<std::size_t> (peers.size()), sendToOne);
}

auto compareWithOne (RouterState& state, Worker& worker, TimePoint now) -> Task<void>
{
    const auto peers = state.settings.peers_size();
    const auto selected = std::min (static_cast<int> (randomFraction() * peers), peers - 1);
    const auto knownEvidence =
        encodeEvidence (state, state.crashes.evidence().all (maxEvidencePerNotice, now), now);
    co_await sendEvidence (state, worker, state.settings.peers (selected), knownEvidence);
}

} // namespace

auto gossipCrashes (RouterState& state, Worker& worker, std::shared_ptr<Signal> changeSignal) -> Task<void>
{
    if (state.settings.peers_size() == 0)
        co_return;

    auto comparisonsLeft = initialComparisons;

    for (;;)
    {
        const auto now = BootClock::now();
        auto newEvidence = state.crashes.evidence().takeUnsent (maxEvidencePerNotice);

        if (! newEvidence.empty())
        {
            co_await announceEvidence (state, worker, encodeEvidence (state, std::move (newEvidence), now));
            co_await pauseFor (worker.loop, announceInterval);
            continue;
        }

        if (comparisonsLeft > 0 || state.crashes.evidence().digest (now) != 0)
        {
            comparisonsLeft = std::max (0, comparisonsLeft - 1);
            co_await compareWithOne (state, worker, now);
        }

        co_await changeSignal->wait (BootClock::now() + compareInterval);
    }
}

auto exchangeCrashes (RouterState& state, const std::string& message) -> std::optional<std::string>
{
    const auto now = BootClock::now();
    const auto received = decodeCrashes (message, now);

    if (! received)
        return {};

    // The router that observed a crash announces it to all others directly, so that received evidence isn't forwarded.
    const auto shouldAnnounce = false;
    state.crashes.receiveEvidence (received->evidence, received->node, shouldAnnounce, now);
    return encodeEvidence (state, state.crashes.evidence().all (maxEvidencePerNotice, now), now);
}

} // namespace snowrudder
