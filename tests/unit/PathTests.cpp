#include "PathWorld.h"
#include "ServingFixtures.h"
#include "snowrudder_serving/paths/RelayRequest.h"

#include <catch2/catch.hpp>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

constexpr auto cutFrom = Duration (4s);
constexpr auto cutUntil = Duration (12s);
constexpr auto runLength = Duration (18s);

/** Which nodes are cut off. */
enum class CutPart
{
    one,
    mostOfDomain,
    domain,
    allButOne
};

auto cutNodes (CutPart part, std::size_t count) -> std::set<std::size_t>
{
    std::set<std::size_t> chosen;
    constexpr auto domain = std::size_t { 1 };

    for (auto node = std::size_t { 0 }; node < count; ++node)
    {
        const auto isOfDomain = PathWorld::domainOf (node) == domain;

        // The first node of a domain is one of its readers.
        if (part == CutPart::allButOne ? node != count - 1
            : part == CutPart::one
                ? node == domain
                : isOfDomain && (part == CutPart::domain || node + PathWorld::domains < count))
            chosen.insert (node);
    }

    return chosen;
}

auto checkCut (std::size_t count, CutPart part, CutKind kind, bool isNodeStopped) -> void
{
    INFO (count << " nodes, part " << static_cast<int> (part) << ", kind " << static_cast<int> (kind)
                << (isNodeStopped ? ", beside a node that ends" : ""));
    const auto cut = cutNodes (part, count);
    PathWorld world (count,
                     count * 31 + static_cast<std::uint64_t> (part) * 7 + static_cast<std::uint64_t> (kind));
    world.cut ({ cut.begin(), cut.end() }, kind, cutFrom, cutUntil);

    if (isNodeStopped)
        world.stop (0, cutFrom + 5s);

    world.run (runLength);

    const auto isCut = [&cut] (std::size_t node) { return cut.contains (node); };
    const auto isOther = [&cut] (std::size_t node) { return ! cut.contains (node); };
    const auto others = world.servedShare (cutFrom, cutUntil, isOther);
    CHECK (others == 1.0);
    CHECK (world.servedShare (cutFrom + 3s, cutUntil, isCut) >= 0.95 * others);
    CHECK (world.servedShare (cutFrom + 1s, cutUntil, isCut) >= 2.0 / 3.0 * others);
    CHECK (world.servedShare (cutUntil + 5s, runLength, isCut) == 1.0);
    CHECK (world.lostNodes() == 0);
    CHECK (world.mostRelayNodesKnown() <= 2 * maxRelayNodesOfKind);
}

} // namespace

TEST_CASE ("nodes that are cut off from all replicas serve through others")
{
    for (const auto count : { 7U, 83U, 295U, 986U })
        for (const auto part : { CutPart::one, CutPart::mostOfDomain, CutPart::domain, CutPart::allButOne })
            for (const auto kind : { CutKind::hang, CutKind::refused, CutKind::reset })
                checkCut (count, part, kind, false);
}

TEST_CASE ("nodes that are cut off serve through others beside a node that ends")
{
    for (const auto count : { 7U, 83U, 295U, 986U })
        for (const auto kind : { CutKind::hang, CutKind::refused, CutKind::reset })
            checkCut (count, CutPart::domain, kind, true);
}

TEST_CASE ("no node relays more for a failure domain that is cut off than it serves itself")
{
    for (const auto count : { 83U, 986U })
    {
        const auto cut = cutNodes (CutPart::domain, count);
        PathWorld world (count, 5);
        world.cut ({ cut.begin(), cut.end() }, CutKind::refused, cutFrom, cutUntil);
        world.run (runLength);
        const auto most = *std::ranges::max_element (world.relayed());
        const auto ownRequests = static_cast<std::size_t> ((cutUntil - cutFrom) / PathWorld::requestInterval);
        INFO (count << " nodes, most relayed by a node " << most << ", its own requests " << ownRequests);
        CHECK (most <= ownRequests);
    }
}

TEST_CASE ("failures at a few replicas, and successes between them, don't lose a node's paths")
{
    ReplicaPaths paths;
    constexpr auto listed = std::size_t { 13 };

    for (auto round = 0; round < 10; ++round)
    {
        const auto now = start + round * 100ms;
        CHECK_FALSE (recordPathFailure (paths, 1, listed, now));
        CHECK_FALSE (recordPathFailure (paths, 2, listed, now));
        CHECK_FALSE (recordContact (paths, now, now));
    }

    // Old failures don't add up.
    CHECK_FALSE (recordPathFailure (paths, 1, listed, start + 2s));
    CHECK_FALSE (recordPathFailure (paths, 2, listed, start + 2s));
    CHECK_FALSE (recordPathFailure (paths, 3, listed, start + 2s + pathFailureLifetime + 1ms));
}

TEST_CASE ("open connections that live on don't hide that new ones fail")
{
    ReplicaPaths paths;
    constexpr auto listed = std::size_t { 13 };
    CHECK_FALSE (recordPathFailure (paths, 1, listed, start));
    CHECK_FALSE (recordContact (paths, std::nullopt, start));
    CHECK_FALSE (recordPathFailure (paths, 2, listed, start));
    CHECK_FALSE (recordContact (paths, std::nullopt, start));
    CHECK (recordPathFailure (paths, 3, listed, start));
    CHECK_FALSE (recordContact (paths, std::nullopt, start + 1s));
    CHECK_FALSE (recordContact (paths, start - 1s, start + 1s));
    CHECK (arePathsLost (paths));
    CHECK (recordContact (paths, start + 1s, start + 1s));
    CHECK_FALSE (arePathsLost (paths));
}

TEST_CASE ("the silence of a replica doesn't end its answers while a node's paths are open")
{
    ReplicaPaths paths;
    CHECK_FALSE (isAnswerLost (paths, start, start + 10s));

    // One replica is silent, the others answer.
    recordContact (paths, std::nullopt, start + 1400ms);
    CHECK_FALSE (shouldProbePaths (paths, 1500ms, start + 1500ms));

    // All are silent, and probes reach them: they are frozen, or slow.
    CHECK (shouldProbePaths (paths, 1500ms, start + 2s));
    CHECK_FALSE (shouldProbePaths (paths, 1500ms, start + 2s + 10ms));
    recordContact (paths, start + 2s, start + 2s);
    CHECK_FALSE (isAnswerLost (paths, start, start + 3s));
}

TEST_CASE ("an answer goes on through another node only once one has reached a replica")
{
    ReplicaPaths paths;

    for (const auto replica : { 1U, 2U, 3U })
        recordPathFailure (paths, replica, 13, start);

    CHECK (arePathsLost (paths));
    CHECK_FALSE (isAnswerLost (paths, start, start + 5s));
    CHECK_FALSE (recordReachedByOther (paths, 4));
    CHECK_FALSE (isAnswerLost (paths, start, start + 5s));
    CHECK (recordReachedByOther (paths, 2));
    CHECK_FALSE (isAnswerLost (paths, start - 5s, start + silenceOnLostPath - 1ms));
    CHECK (isAnswerLost (paths, start - 5s, start + silenceOnLostPath));
    CHECK_FALSE (isAnswerLost (paths, start + 1s, start + 1s + silenceOnLostPath - 1ms));
}

TEST_CASE ("replicas that other nodes can't reach either don't lose a node's paths")
{
    ReplicaPaths paths;
    constexpr auto listed = std::size_t { 13 };

    for (const auto replica : { 1U, 2U, 3U })
        recordPathFailure (paths, replica, listed, start);

    CHECK (arePathsLost (paths));
    CHECK (recordUnreachedByOther (paths, 3, listed));
    CHECK_FALSE (arePathsLost (paths));

    // Once another node has reached one, further failures of others don't change it.
    CHECK (recordPathFailure (paths, 4, listed, start));
    CHECK (recordReachedByOther (paths, 4));
    CHECK_FALSE (recordUnreachedByOther (paths, 1, listed));
    CHECK (arePathsLost (paths));
}

TEST_CASE ("an accepted probe lets one request try lost paths, and ever fewer while those fail")
{
    ReplicaPaths paths;
    recordAcceptedProbe (paths, start, start);
    CHECK_FALSE (mayTryPaths (paths, start));

    for (const auto replica : { 1U, 2U, 3U })
        recordPathFailure (paths, replica, 13, start);

    // A connection that was made before shows nothing.
    recordAcceptedProbe (paths, start - 1ms, start);
    CHECK_FALSE (mayTryPaths (paths, start));

    auto trials = 0;

    for (auto now = start; now < start + 10s; now += pathProbeInterval)
    {
        recordAcceptedProbe (paths, now, now);
        CHECK (arePathsLost (paths));

        if (! mayTryPaths (paths, now))
            continue;

        recordTrial (paths, now);
        ++trials;
        CHECK_FALSE (mayTryPaths (paths, now));
        recordPathFailure (paths, 1, 13, now);
    }

    CHECK (trials >= 5);
    CHECK (trials <= 7);
    CHECK (recordContact (paths, start + 10s, start + 10s));

    // The next time begins with the shortest pause.
    for (const auto replica : { 1U, 2U, 3U })
        recordPathFailure (paths, replica, 13, start + 11s);

    recordAcceptedProbe (paths, start + 11s, start + 11s);
    CHECK (mayTryPaths (paths, start + 11s));
    recordTrial (paths, start + 11s);
    recordAcceptedProbe (paths, start + 11s, start + 11s);
    CHECK_FALSE (mayTryPaths (paths, start + 11s + minPathTrialPause - 1ms));
    CHECK (mayTryPaths (paths, start + 11s + minPathTrialPause));
}

TEST_CASE ("a node that does not relay is not asked again for a while, and one that is cut off is dropped")
{
    RelayNodes relays;
    const RelayNodes::Endpoint node (boost::asio::ip::address_v4::loopback(), 7);
    recordRelayNode (relays, node, true, 0, start);
    CHECK (chooseRelayNode (relays, 5, start) == node);
    recordRelayTimeout (relays, node, start);
    CHECK_FALSE (chooseRelayNode (relays, 5, start + relayTimeoutPause - 1ms));
    CHECK (chooseRelayNode (relays, 5, start + relayTimeoutPause) == node);
    CHECK_FALSE (chooseRelayNode (relays, 5, start + relayNodeLifetime + 1ms));
    recordRelayNode (relays, node, false, 0, start);
    CHECK (relays.nodes.empty());

    // What another node passed on is used, but not passed on again.
    recordPassedOnRelayNode (relays, node, 0, start);
    CHECK (chooseRelayNode (relays, 5, start) == node);
    CHECK (sampleRelayNodes (relays, true, 1, start).empty());
    CHECK (sampleRelayNodes (relays, false, 1, start).size() == 1);
    CHECK_FALSE (chooseRelayNode (relays, 5, start + passedOnLifetime + 1ms));
    recordRelayRefusal (relays, node);
    CHECK (relays.nodes.empty());
}

TEST_CASE ("a connection to a replica of any name can be relayed")
{
    constexpr auto unreservedOrSeparator =
        std::string_view ("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~%/:");

    for (const auto* name : { "i 2 +", "x/y", "/", "%", "%41", "a?b#c", "..", "\u00e9", "\xff" })
    {
        INFO (name);
        const auto message = encodeRelayRequest ({ name, "10.0.0.1:80", 1500ms }, "secret", "front-1");
        CHECK (toView (message.target()).find_first_not_of (unreservedOrSeparator) == std::string_view::npos);
        const auto read = decodeRelayRequest (message);
        REQUIRE (read.has_value());
        CHECK (read->replica == name);
        CHECK (read->endpoint == "10.0.0.1:80");
    }
}

TEST_CASE ("a request to relay a connection is read as it was written, and malformed ones are rejected")
{
    const auto message = encodeRelayRequest ({ "i-1", "10.0.0.1:80", 1500ms }, "secret", "front-1");
    const auto read = decodeRelayRequest (message);
    REQUIRE (read.has_value());
    CHECK (read->replica == "i-1");
    CHECK (read->endpoint == "10.0.0.1:80");
    CHECK (read->timeLeft == 1500ms);
    CHECK (verifiedSigner ("secret", message) == "front-1");

    for (const auto* target : { "", "/", "//", "a/b", "i-1/10.0.0.1/5", "i-1/10.0.0.1:80/",
                                "i-1/10.0.0.1:80/x", "i-%/10.0.0.1:80/5", "i-%zz/10.0.0.1:80/5" })
        CHECK_FALSE (decodeRelayRequest (HttpRequest (http::verb::connect, target, 11)).has_value());

    CHECK_FALSE (decodeRelayRequest (HttpRequest (http::verb::get, "i-1/10.0.0.1:80/5", 11)).has_value());
}
