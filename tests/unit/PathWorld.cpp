#include "PathWorld.h"

#include "ServingFixtures.h"
#include "snowrudder_serving/members/ReportTimes.h"

#include <algorithm>

namespace snowrudder::tests
{

namespace
{

constexpr auto replicas = std::size_t { 40 };
constexpr auto roundTrip = Duration (2ms);
constexpr auto connectTimeout = Duration (250ms);
constexpr auto sweepInterval = Duration (100ms);
constexpr auto lossShare = 0.02;
constexpr auto readersPerDomain = std::size_t { 2 };

/** Most attempts of a request, as a runner makes them when none reaches a replica. */
constexpr auto maxAttempts = 6;
constexpr auto maxRelaysTried = 3;

/** Answers of different replicas that a node has in flight when it is cut off, and nodes that have one of a replica that
    ends.
*/
constexpr auto answersInFlight = 8;
constexpr auto nodesInFlight = 5;

/** Time from a proof to the moment when other nodes have heard of it. */
constexpr auto newsDelay = Duration (20ms);

/** How long nodes send nothing to a replica that was told to have crashed. */
constexpr auto endedLifetime = Duration (3s);

} // namespace

PathWorld::PathWorld (std::size_t nodeCount, std::uint64_t seed)
    : random (seed), nodes (nodeCount), relayedConnections (nodeCount)
{
    for (auto node = std::size_t { 0 }; node < nodeCount; ++node)
    {
        at (Duration (random() % requestInterval.count()), [this, node] { receive (node); });
        at (Duration (random() % Duration (reportInterval).count()), [this, node] { report (node); });
        at (Duration (random() % sweepInterval.count()), [this, node] { probe (node); });
    }
}

auto PathWorld::cut (const std::vector<std::size_t>& cutNodes,
                     CutKind kind,
                     Duration from,
                     Duration until,
                     Duration spread) -> void
{
    for (const auto node : cutNodes)
    {
        at (from,
            [this, node, kind, from, spread]
            {
                nodes[node].cut = kind;
                nodes[node].cutFrom = from;
                nodes[node].cutSpread = spread;

                for (auto answer = 0; answer < answersInFlight; ++answer)
                {
                    const auto replica = static_cast<std::uint32_t> (random() % replicas);
                    at (from + spread * replica / replicas,
                        [this, node, replica] { examine (node, replica); });
                }
            });
        at (until, [this, node] { nodes[node].cut.reset(); });
    }
}

auto PathWorld::stop (std::size_t node, Duration from) -> void
{
    at (from, [this, node] { nodes[node].isStopped = true; });
}

auto PathWorld::endReplicas (std::uint32_t first, std::uint32_t count, Duration from) -> void
{
    for (auto replica = first; replica < first + count; ++replica)
        at (from,
            [this, replica]
            {
                endedReplicas.insert (replica);

                for (auto examiner = 0; examiner < nodesInFlight; ++examiner)
                    examine (random() % nodes.size(), replica);
            });
}

auto PathWorld::run (Duration length) -> void
{
    while (! events.empty() && events.top().time < length)
    {
        const auto event = events.top();
        events.pop();
        time = event.time;
        event.action();
    }
}

auto PathWorld::servedShare (Duration from,
                             Duration until,
                             const std::function<bool (std::size_t)>& isWanted) const -> double
{
    auto total = 0.0;
    auto served = 0.0;

    for (const auto& request : requests)
        if (isWanted (request.node) && request.received >= from && request.received < until)
        {
            total += 1.0;
            served += request.isServed ? 1.0 : 0.0;
        }

    return total > 0.0 ? served / total : 0.0;
}

auto PathWorld::lostNodes() const -> std::size_t
{
    return static_cast<std::size_t> (
        std::ranges::count_if (nodes, [] (const Node& node) { return arePathsLost (node.paths); }));
}

auto PathWorld::mostRelayNodesKnown() const -> std::size_t
{
    auto most = std::size_t { 0 };

    for (const auto& node : nodes)
        most = std::max (most, node.relays.nodes.size());

    return most;
}

auto PathWorld::at (Duration when, std::function<void()> action) -> void
{
    events.push ({ when, nextOrder++, std::move (action) });
}

auto PathWorld::now() const -> TimePoint
{
    return start + time;
}

auto PathWorld::isReader (std::size_t node) const -> bool
{
    return node < domains * readersPerDomain;
}

auto PathWorld::isDelivered() -> bool
{
    return ! std::bernoulli_distribution (lossShare) (random);
}

auto PathWorld::receive (std::size_t node) -> void
{
    if (nodes[node].isStopped)
        return;

    requests.push_back ({ node, time });
    attempt (requests.size() - 1);
    at (time + requestInterval, [this, node] { receive (node); });
}

auto PathWorld::retry (std::size_t request, Duration delay) -> void
{
    if (++requests[request].attempts < maxAttempts)
        at (time + delay, [this, request] { attempt (request); });
}

auto PathWorld::attempt (std::size_t request) -> void
{
    auto& node = nodes[requests[request].node];
    const auto chosen = chooseReplica (requests[request].node);

    if (! chosen)
        return;

    requests[request].replica = *chosen;

    const auto isThroughOthers = arePathsLost (node.paths) && chooseRelayNode (node.relays, 0, now());
    const auto isTrial = isThroughOthers && mayTryPaths (node.paths, now());

    if (isTrial)
        recordTrial (node.paths, now());

    if (isThroughOthers && ! isTrial)
    {
        attemptThroughRelay (request, maxRelaysTried);
        return;
    }

    if (canConnect (requests[request].node, *chosen))
    {
        requests[request].isServed = true;
        recordContact (node.paths, now(), now());
        return;
    }

    const auto kind = node.cut.value_or (CutKind::refused);
    const auto delay = kind == CutKind::hang ? connectTimeout : roundTrip;
    at (time + delay,
        [this, request, kind, isTrial]
        {
            auto& failing = nodes[requests[request].node];
            recordPathFailure (failing.paths, requests[request].replica, replicas, now());

            // A request that was sent may have run, so that one that must not repeat is lost. None of those tries paths.
            if (kind != CutKind::reset || isTrial)
                retry (request, Duration::zero());
        });
}

auto PathWorld::attemptThroughRelay (std::size_t request, int triesLeft) -> void
{
    auto& node = nodes[requests[request].node];
    const auto relay = chooseRelayNode (node.relays, random(), now());

    if (! relay || triesLeft == 0)
    {
        constexpr auto pause = Duration (20ms);
        retry (request, pause);
        return;
    }

    const auto number = static_cast<std::size_t> (relay->port());
    const auto& helper = nodes[number];
    const auto delay = helper.isStopped || helper.cut == CutKind::hang ? connectTimeout : roundTrip * 2;
    at (time + delay,
        [this, request, relay, number, triesLeft]
        {
            auto& asking = nodes[requests[request].node];
            auto& asked = nodes[number];

            if (! asked.isStopped && ! arePathsLost (asked.paths) &&
                canConnect (number, requests[request].replica))
            {
                ++relayedConnections[number];
                recordReachedByOther (asking.paths, requests[request].replica);
                requests[request].isServed = true;
                return;
            }

            if (! asked.isStopped && now() - asked.paths.lastContact >= silenceBeforeProbe)
                recordPathFailure (asked.paths, requests[request].replica, replicas, now());

            // A node whose paths are not lost yet says that the replica can't be reached.
            if (! asked.isStopped && ! arePathsLost (asked.paths))
            {
                recordUnreachedByOther (asking.paths, requests[request].replica, replicas);
                retry (request, Duration::zero());
                return;
            }

            if (asked.isStopped)
                recordRelayTimeout (asking.relays, *relay, now());
            else
                recordRelayRefusal (asking.relays, *relay);

            attemptThroughRelay (request, triesLeft - 1);
        });
}

auto PathWorld::chooseReplica (std::size_t node) -> std::optional<std::uint32_t>
{
    std::erase_if (nodes[node].toldEnded,
                   [this] (const auto& entry) { return time - entry.second >= endedLifetime; });

    if (nodes[node].toldEnded.size() >= replicas)
        return {};

    for (;;)
        if (const auto replica = static_cast<std::uint32_t> (random() % replicas);
            ! nodes[node].toldEnded.contains (replica))
            return replica;
}

auto PathWorld::canConnect (std::size_t node, std::uint32_t replica) const -> bool
{
    return ! isPathCut (nodes[node], replica) && ! endedReplicas.contains (replica);
}

auto PathWorld::isPathCut (const Node& node, std::uint32_t replica) const -> bool
{
    return node.cut && time >= node.cutFrom + node.cutSpread * replica / replicas;
}

auto PathWorld::examine (std::size_t node, std::uint32_t replica) -> void
{
    // Only a refusal is looked into further.
    if (nodes[node].isStopped || nodes[node].cut.value_or (CutKind::refused) != CutKind::refused)
        return;

    const auto inquiry = std::make_shared<Inquiry> (Inquiry { node, replica, time });
    at (time + roundTrip, [this, inquiry] { askWitnesses (inquiry); });
}

auto PathWorld::askWitnesses (const std::shared_ptr<Inquiry>& inquiry) -> void
{
    auto& [node, replica, noticed, outstanding, answers] = *inquiry;

    while (const auto count = neededWitnesses (answers))
    {
        const auto asked = chooseRelayNodes (nodes[node].relays, count, answers.asked, random(), now());
        answers.hasAskedAll = asked.empty();
        outstanding = asked.size();

        for (const auto& witnessNode : asked)
        {
            const auto number = static_cast<std::size_t> (witnessNode.port());
            const auto isSlow = nodes[number].isStopped || nodes[number].cut == CutKind::hang;
            at (time + (isSlow ? connectTimeout : roundTrip * 3),
                [this, inquiry, witnessNode] { recordAnswer (inquiry, witnessNode); });
        }

        if (outstanding > 0)
            return;
    }

    endInquiry (replica, noticed, answers);
}

auto PathWorld::recordAnswer (const std::shared_ptr<Inquiry>& inquiry, const RelayNodes::Endpoint& asked)
    -> void
{
    const auto number = static_cast<std::size_t> (asked.port());
    auto& relays = nodes[inquiry->node].relays;
    const auto answer = witness (number, inquiry->replica);
    recordWitness (inquiry->answers, asked, answer);

    if (nodes[number].isStopped)
        recordRelayTimeout (relays, asked, now());
    else if (answer == WitnessAnswer::none || answer == WitnessAnswer::unverified)
        recordRelayRefusal (relays, asked);

    if (--inquiry->outstanding == 0)
        askWitnesses (inquiry);
}

auto PathWorld::witness (std::size_t number, std::uint32_t replica) -> WitnessAnswer
{
    const auto& node = nodes[number];

    if (node.isStopped || arePathsLost (node.paths))
        return WitnessAnswer::none;

    if (canConnect (number, replica) || node.cut == CutKind::reset)
        return WitnessAnswer::reached;

    auto reachesOther = false;

    for (auto probe = std::size_t { 0 }; probe < maxVerifyingReplicas; ++probe)
        reachesOther = reachesOther || canConnect (number, static_cast<std::uint32_t> (random() % replicas));

    return witnessOf (node.cut != CutKind::hang, reachesOther);
}

auto PathWorld::endInquiry (std::uint32_t replica, Duration noticed, const RefusalInquiry& inquiry) -> void
{
    if (resultOf (inquiry) != EndpointState::refuses)
        return;

    proofs.push_back ({ replica, noticed, time, endedReplicas.contains (replica) });

    for (auto node = std::size_t { 0 }; node < nodes.size(); ++node)
        at (time + newsDelay, [this, node, replica, told = time] { nodes[node].toldEnded[replica] = told; });
}

auto PathWorld::report (std::size_t number) -> void
{
    auto& node = nodes[number];

    if (node.isStopped)
        return;

    at (time + Duration (reportInterval), [this, number] { report (number); });

    if (! reportsToReaders (nodes.size()))
    {
        for (auto other = std::size_t { 0 }; other < nodes.size(); ++other)
            if (other != number)
                deliver (number, other, {});

        return;
    }

    if (isReader (number))
    {
        for (auto other = std::size_t { 0 }; other < domains * readersPerDomain; ++other)
            if (other != number)
                deliver (number, other, sampleRelayNodes (node.relays, true, random(), now()));

        return;
    }

    // The domain's two readers share its nodes.
    const auto reader = domainOf (number) + domains * ((number / domains) % readersPerDomain);
    deliver (number, reader, {});
    deliver (reader, number, sampleRelayNodes (nodes[reader].relays, false, random(), now()));
}

auto PathWorld::deliver (std::size_t sender,
                         std::size_t receiver,
                         const std::vector<RelayNodes::Endpoint>& passedOn) -> void
{
    if (nodes[sender].isStopped || nodes[receiver].isStopped || ! isDelivered())
        return;

    auto others = passedOn;
    std::erase (others, endpointOf (receiver));
    recordRelayReport (nodes[receiver].relays, endpointOf (sender), ! arePathsLost (nodes[sender].paths),
                       others, random(), now());
}

auto PathWorld::probe (std::size_t number) -> void
{
    auto& node = nodes[number];
    at (time + sweepInterval, [this, number] { probe (number); });

    if (! shouldProbePaths (node.paths, Duration::zero(), now()))
        return;

    const auto replica = static_cast<std::uint32_t> (random() % replicas);

    // A probe sends nothing, so that its connection is not reset.
    if (isPathCut (node, replica) && node.cut != CutKind::reset)
        recordPathFailure (node.paths, replica, replicas, now());
    else
        recordAcceptedProbe (node.paths, now(), now());
}

auto PathWorld::endpointOf (std::size_t node) -> RelayNodes::Endpoint
{
    return { boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t> (node) };
}

} // namespace snowrudder::tests
