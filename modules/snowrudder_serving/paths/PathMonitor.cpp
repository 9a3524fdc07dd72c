#include "PathMonitor.h"

#include "RelayRequest.h"

#include <algorithm>
#include <random>

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

/** Limit for a connection by which a node verifies its own paths while another node waits for its response. */
constexpr auto verifyingConnectTimeout = Duration (150ms);

/** Time for which other nodes are asked about one address. */
constexpr auto inquiryTimeout = Duration (1s);

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

/** @returns the endpoints of the replicas by which nodes verify that a refusal of one is not their own fault. */
auto verifyingReplicas (const ServingState& state, std::string_view replica) -> std::vector<std::string>
{
    std::string_view service;

    for (const auto& [key, entry] : state.directory.entries)
        if (entry.info.name == replica)
            service = entry.info.service;

    std::vector<std::string> sameService;
    std::vector<std::string> others;

    for (const auto& [key, entry] : state.directory.entries)
        if (! leaves (entry) && entry.info.name != replica)
            (entry.info.service == service ? sameService : others).push_back (entry.info.endpoint);

    return sameService.empty() ? others : sameService;
}

/** @returns what a node's response says of the replica. */
auto witnessOf (http::status status) -> WitnessAnswer
{
    switch (status)
    {
        case relayConnected:
            return WitnessAnswer::reached;
        case relayReplicaLeaving:
            return WitnessAnswer::leaving;
        case relayReplicaUnreachable:
            return WitnessAnswer::refused;
        case relayUnverified:
            return WitnessAnswer::unverified;
        default:
            return WitnessAnswer::none;
    }
}

/** Asks one node to connect a call to a replica, and records what the answer says of that node and of this one's paths. */
auto connectThrough (ServingState& state,
                     UpstreamCall& call,
                     RelayNodes::Endpoint node,
                     const ReplicaInfo& replica,
                     std::string purpose,
                     TimePoint end) -> Task<http::status>
{
    const auto now = BootClock::now();
    const RelayRequest request { replica.name, replica.endpoint,
                                 std::chrono::ceil<std::chrono::milliseconds> (end - now) };
    const tcp::endpoint address (node.address(), node.port());
    auto message = encodeRelayRequest (request, state.fleetSecret, state.settings.node);
    const auto code = co_await call.connectThrough (address, std::move (message), relayResponseTimeout);
    const auto status = static_cast<http::status> (code);

    state.metrics.counter ("snowrudder_connections_through_relays_total").add();
    LogLine ("connection_through_relay")
        .with ("request", purpose)
        .with ("replica", replica.name)
        .with ("relay", address.address().to_string())
        .with ("port", address.port())
        .with ("status", static_cast<unsigned> (status))
        .with ("milliseconds", inMilliseconds (BootClock::now() - now))
        .info();

    if (code == 0)
        recordRelayTimeout (state.relays, node, BootClock::now());
    else if (status == relayConnected)
    {
        // The breakers opened because of this node's own failures.
        if (recordReachedByOther (state.paths, replicaHash (replica.name)))
            state.replicas.closeBreakers();
    }
    else if (witnessOf (status) == WitnessAnswer::none && status != relayReplicaResting)
        recordRelayRefusal (state.relays, node);

    co_return status;
}

auto probePath (ServingState& state, ReplicaInfo replica) -> Task<void>
{
    const auto began = BootClock::now();
    const auto result = co_await probeEndpoint (state.pool, parseEndpoint (replica.endpoint),
                                                probeConnectTimeout, probeObservationTime);
    const auto now = BootClock::now();

    if (result == EndpointState::accepts)
        recordAcceptedProbe (state.paths, began, now);
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

auto recordReplicaContact (ServingState& state,
                           std::optional<TimePoint> connectedAt,
                           TimePoint now,
                           std::string_view reason) -> void
{
    const auto lostSince = state.paths.lostSince;

    if (! recordContact (state.paths, connectedAt, now))
        return;

    logRegained (now - *lostSince, reason);
}

auto connectThroughRelay (ServingState& state,
                          UpstreamCall& call,
                          const ReplicaInfo& replica,
                          std::string_view purpose,
                          TimePoint end) -> Task<RelayedConnection>
{
    const std::string requestId (purpose);
    auto isResting = false;

    for (auto tries = 1; tries <= maxRelaysTried; ++tries)
    {
        const auto now = BootClock::now();
        const auto node = chooseRelayNode (state.relays, randomNumber(), now);

        if (! node || now >= end)
            break;

        const auto status = co_await connectThrough (state, call, *node, replica, requestId, end);

        if (status == relayConnected)
            co_return RelayedConnection { RelayOutcome::connected, node };

        isResting = isResting || status == relayReplicaResting;

        if (status == relayReplicaUnreachable || status == relayUnverified)
            recordOthersFailure (state, replica.name);

        if (status == relayReplicaUnreachable || status == relayUnverified || status == relayReplicaLeaving)
            co_return RelayedConnection { RelayOutcome::replicaUnreachable };
    }

    co_return RelayedConnection { isResting ? RelayOutcome::replicaResting : RelayOutcome::noRelay };
}

auto askOthersAbout (ServingState& state, std::string endpoint, EndpointState own) -> Task<EndpointState>
{
    const auto began = BootClock::now();

    // Alone, a node has only its own word.
    if (state.nodeCount (began) <= 1 && ! arePathsLost (state.paths))
        co_return own;

    // Others can't tell why a listener closes this node's connections.
    if (own == EndpointState::closes)
        co_return arePathsLost (state.paths) ? EndpointState::silent : own;

    ReplicaInfo replica;
    replica.endpoint = std::move (endpoint);

    for (const auto& [key, entry] : state.directory.entries)
        if (entry.info.endpoint == replica.endpoint)
            replica.name = entry.info.name;

    RefusalInquiry inquiry;
    inquiry.isOnlyReplica = verifyingReplicas (state, replica.name).empty();

    std::vector<RelayNodes::Endpoint> nodes;
    const auto ask = [&] (std::size_t index) -> Task<void>
    {
        const auto node = nodes[index];
        UpstreamCall call (state.pool, parseEndpoint (replica.endpoint), {});
        const auto status =
            co_await connectThrough (state, call, node, replica, "probe", began + inquiryTimeout);
        recordWitness (inquiry, node, witnessOf (status));

        if (status == relayReplicaUnreachable)
            recordOthersFailure (state, replica.name);

        // Asked about another replica, it may answer for the same reason, so that others come first.
        if (status == relayUnverified)
            recordRelayRefusal (state.relays, node);
    };

    while (const auto count = neededWitnesses (inquiry))
    {
        if (BootClock::now() - began >= inquiryTimeout)
            break;

        nodes = chooseRelayNodes (state.relays, count, inquiry.asked, randomNumber(), BootClock::now());
        inquiry.hasAskedAll = nodes.empty();
        co_await runAll (state.loop, nodes.size(), ask);
    }

    LogLine ("refusal_checked")
        .with ("replica", replica.name)
        .with ("endpoint", replica.endpoint)
        .with ("nodes_asked", inquiry.asked.size())
        .with ("refusals", inquiry.refusals)
        .with ("answer", toString (answerOf (inquiry)))
        .with ("address", snowrudder::toString (resultOf (inquiry)))
        .with ("milliseconds", inMilliseconds (BootClock::now() - began))
        .info();

    co_return resultOf (inquiry);
}

auto reachesOtherReplica (ServingState& state, std::string replica) -> Task<bool>
{
    auto isReached = false;
    auto others = verifyingReplicas (state, replica);
    std::ranges::shuffle (others, std::mt19937_64 (randomNumber()));
    others.resize (std::min (others.size(), maxVerifyingReplicas));

    const auto probe = [&] (std::size_t index) -> Task<void>
    {
        const auto result =
            co_await probeEndpoint (state.pool, parseEndpoint (others[index]), verifyingConnectTimeout);
        isReached = isReached || result == EndpointState::accepts;
    };

    co_await runAll (state.loop, others.size(), probe);
    co_return isReached;
}

auto checkPaths (ServingState& state, TimePoint now) -> void
{
    auto longestSilence = Duration::zero();

    for (auto* attempt : state.directAttempts)
    {
        longestSilence = std::max (longestSilence, now - attempt->lastBytes);

        // The request was sent, and its connection was not reset: the replica is at work on it.
        if (attempt->isTrial && now - attempt->lastBytes >= silenceOnLostPath)
        {
            attempt->isTrial = false;
            recordReplicaContact (state, attempt->lastBytes, now, "connection_kept");
        }

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
