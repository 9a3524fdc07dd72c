#include "PathMonitor.h"

#include "RelayRequest.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** How many nodes are asked to relay one connection before the attempt fails. */
constexpr auto maxRelaysTried = 3;

/** Limit for a node's response: its connection to the replica may take 250 ms. */
constexpr auto relayResponseTimeout = Duration (500ms);

/** Limits of the probes of paths: for connecting, and for how long the connection has to stay open. */
constexpr auto probeConnectTimeout = Duration (400ms);
constexpr auto probeObservationTime = Duration (50ms);

/** Number of replicas that are probed at a time. */
constexpr auto probesPerRound = failuresToLosePaths;

auto logLost (const ServingState& state, TimePoint now) -> void
{
    LogLine ("replica_paths_lost")
        .with ("failures", state.paths.failures.size())
        .with ("replicas", state.directory.entries.size())
        .with ("contact_milliseconds", inMilliseconds (now - state.paths.lastContact))
        .with ("relay_nodes", state.relays.nodes.size())
        .with ("waiting", state.directAttempts.size())
        .warning();
}

auto logRegained (Duration lostFor, std::string_view reason) -> void
{
    LogLine ("replica_paths_regained")
        .with ("lost_milliseconds", inMilliseconds (lostFor))
        .with ("reason", reason)
        .info();
}

auto randomReplicas (const ServingState& state) -> std::vector<ReplicaInfo>
{
    std::vector<ReplicaInfo> chosen;
    const auto& entries = state.directory.entries;

    for (auto left = std::min (probesPerRound, entries.size()); left > 0; --left)
    {
        const auto position = static_cast<std::ptrdiff_t> (randomNumber() % entries.size());
        chosen.push_back (std::next (entries.begin(), position)->second.info);
    }

    return chosen;
}

auto probePath (ServingState& state, ReplicaInfo replica) -> Task<void>
{
    const auto began = BootClock::now();
    const auto result = co_await probeEndpoint (state.pool, parseEndpoint (replica.endpoint),
                                                probeConnectTimeout, probeObservationTime);
    const auto now = BootClock::now();

    if (result == EndpointState::accepts)
        recordReplicaContact (state, began, now);
    else
        recordConnectFailure (state, replica.name, now);
}

} // namespace

auto connectsThroughOthers (const ServingState& state, TimePoint now) -> bool
{
    return arePathsLost (state.paths) && chooseRelayNode (state.relays, 0, now).has_value();
}

auto recordConnectFailure (ServingState& state, std::string_view replica, TimePoint now) -> void
{
    if (! recordPathFailure (state.paths, replicaHash (replica), state.directory.entries.size(), now))
        return;

    state.metrics.counter ("snowrudder_replica_paths_lost_total").add();
    logLost (state, now);
}

auto recordOthersFailure (ServingState& state, std::string_view replica) -> void
{
    const auto lostSince = state.paths.lostSince;

    if (recordUnreachedByOther (state.paths, replicaHash (replica), state.directory.entries.size()))
        logRegained (BootClock::now() - *lostSince, "others_fail_too");
}

auto recordReplicaContact (ServingState& state, std::optional<TimePoint> connectedAt, TimePoint now) -> void
{
    const auto lostSince = state.paths.lostSince;

    if (! recordContact (state.paths, connectedAt, now))
        return;

    logRegained (now - *lostSince, "answer");
}

auto connectThroughRelay (ServingState& state,
                          UpstreamCall& call,
                          const ReplicaInfo& replica,
                          std::string_view purpose,
                          TimePoint end) -> Task<RelayOutcome>
{
    const std::string requestId (purpose);

    for (auto tries = 1; tries <= maxRelaysTried; ++tries)
    {
        const auto now = BootClock::now();
        const auto node = chooseRelayNode (state.relays, randomNumber(), now);

        if (! node || now >= end)
            break;

        const RelayRequest request { replica.name, replica.endpoint,
                                     std::chrono::ceil<std::chrono::milliseconds> (end - now) };
        const tcp::endpoint address (node->address(), node->port());
        auto message = encodeRelayRequest (request, state.fleetSecret, state.settings.node);
        const auto code = co_await call.connectThrough (address, std::move (message), relayResponseTimeout);
        const auto status = static_cast<http::status> (code);

        state.metrics.counter ("snowrudder_connections_through_relays_total").add();
        LogLine ("connection_through_relay")
            .with ("request", requestId)
            .with ("replica", replica.name)
            .with ("relay", address.address().to_string())
            .with ("port", address.port())
            .with ("status", static_cast<unsigned> (status))
            .with ("milliseconds", inMilliseconds (BootClock::now() - now))
            .info();

        if (status == relayConnected)
        {
            // The breakers opened because of this node's own failures.
            if (recordReachedByOther (state.paths, replicaHash (replica.name)))
                state.replicas.closeBreakers();

            co_return RelayOutcome::connected;
        }

        if (status == relayReplicaUnreachable)
            recordOthersFailure (state, replica.name);

        if (status == relayReplicaUnreachable || status == relayReplicaLeaving)
            co_return RelayOutcome::replicaUnreachable;

        if (code == 0)
            recordRelayTimeout (state.relays, *node, BootClock::now());
        else
            recordRelayRefusal (state.relays, *node);
    }

    co_return RelayOutcome::noRelay;
}

auto askOthersAbout (ServingState& state, std::string endpoint, EndpointState own) -> Task<EndpointState>
{
    const auto now = BootClock::now();

    // Alone, a node has only its own word.
    if (state.nodeCount (now) <= 1 && ! arePathsLost (state.paths))
        co_return own;

    // Others can't tell why a listener closes this node's connections.
    if (own == EndpointState::closes)
        co_return arePathsLost (state.paths) ? EndpointState::silent : own;

    ReplicaInfo replica;
    replica.endpoint = std::move (endpoint);

    for (const auto& [key, entry] : state.directory.entries)
        if (entry.info.endpoint == replica.endpoint)
            replica.name = entry.info.name;

    UpstreamCall call (state.pool, parseEndpoint (replica.endpoint), {});

    const auto outcome = co_await connectThroughRelay (state, call, replica, "probe", now + 1s);

    if (outcome == RelayOutcome::connected)
        co_return EndpointState::reachedByOthers;

    co_return outcome == RelayOutcome::replicaUnreachable ? own : EndpointState::silent;
}

auto checkPaths (ServingState& state, TimePoint now) -> void
{
    auto longestSilence = Duration::zero();

    for (auto* attempt : state.directAttempts)
    {
        longestSilence = std::max (longestSilence, now - attempt->lastBytes);

        if (attempt->mayContinueElsewhere && ! attempt->isLost &&
            isAnswerLost (state.paths, attempt->lastBytes, now))
        {
            attempt->isLost = true;
            attempt->call.cancel();
        }
    }

    if (! shouldProbePaths (state.paths, longestSilence, now))
        return;

    for (auto& replica : randomReplicas (state))
        asio::co_spawn (state.loop, probePath (state, std::move (replica)), asio::detached);
}

} // namespace snowrudder
