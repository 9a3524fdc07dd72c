#include "ServingFixtures.h"

#include "snowrudder_serving/duties/UsageCollector.h"
#include "snowrudder_serving/members/PeerTable.h"
#include "snowrudder_serving/members/PromptBudget.h"
#include "snowrudder_serving/members/ReportRole.h"
#include "snowrudder_serving/members/ReportRoute.h"
#include "snowrudder_serving/members/ReportTimes.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

auto reportOf (std::string node, double tokens, double asked) -> PeerReport
{
    PeerReport report;
    report.node = std::move (node);
    report.incarnation = 1;
    report.sequence = 1;
    report.admitted["alpha"] = { tokens, asked, asked, std::nullopt };
    report.work["model"] = { asked, 2.0, std::nullopt };
    return report;
}

auto endpointOf (unsigned short port) -> ReportRoute::Endpoint
{
    return { boost::asio::ip::make_address ("10.0.0.1"), port };
}

/** Nodes of six failure domains with two readers each, which exchange their counts of one window by usage notices. Time
    is virtual; datagrams are delayed, reordered or lost.
*/
class UsageFleet
{
public:
    UsageFleet (std::size_t count, std::uint64_t seed) : random (seed)
    {
        for (auto index = std::size_t { 0 }; index < count; ++index)
            nodes.push_back (makeNode (index));
    }

    auto run (Duration time, double requestsPerSecond) -> void
    {
        for (const auto end = now + time; now < end; now += tick)
        {
            for (auto& node : nodes)
                sendNotices (node);

            deliver();
            count (requestsPerSecond);
        }
    }

    /** Kills and restarts a node, which loses its state. */
    auto restart (std::size_t index) -> void
    {
        const auto incarnation = nodes[index].incarnation + 1;
        nodes[index] = makeNode (index);
        nodes[index].incarnation = incarnation;
    }

    [[nodiscard]] auto countedAt (std::size_t index) const -> std::uint64_t
    {
        const auto& node = nodes[index];
        const auto all = node.gathered.countsOfAllNodes (window, node.usage.countsOf (window));
        const auto found = all.find ("alpha");
        return found == all.end() ? 0 : found->second;
    }

    [[nodiscard]] auto truth() const -> std::uint64_t { return counted; }

    static constexpr auto windowLength = Duration (5s);

private:
    static constexpr auto tick = 10ms;
    static constexpr auto window = std::uint64_t { 0 };
    static constexpr auto domains = std::size_t { 6 };
    static constexpr auto readers = 2 * domains;

    struct Node
    {
        std::string name;
        std::size_t domain = 0;
        bool isReader = false;
        std::uint64_t incarnation = 1;
        UsageWindows usage { windowLength };
        UsageCollector gathered { "" };
        Duration nextNotice {};
    };

    struct Datagram
    {
        Duration arrival {};
        std::size_t target = 0;
        UsageNotice notice;
    };

    auto makeNode (std::size_t index) -> Node
    {
        Node node;
        node.name = std::to_string (index);
        node.domain = index % domains;
        node.isReader = index < readers;
        node.gathered = UsageCollector (domainName (node.domain));
        node.nextNotice = now + std::uniform_int_distribution<int> (0, 49) (random) * tick;
        return node;
    }

    static auto domainName (std::size_t domain) -> std::string { return "domain-" + std::to_string (domain); }

    auto sendNotices (Node& node) -> void
    {
        if (now < node.nextNotice)
            return;

        node.nextNotice = now + usageInterval;
        UsageNotice notice { node.name, node.incarnation, {}, node.usage.counts() };

        for (auto reader = node.domain; reader < readers; reader += domains)
            send (reader, notice);

        if (! node.isReader)
            return;

        notice.domain = domainName (node.domain);
        notice.counts = node.gathered.recentDomainCounts (node.usage, Duration::zero());

        for (auto reader = std::size_t { 0 }; reader < readers; ++reader)
            send (reader, notice);
    }

    auto send (std::size_t target, const UsageNotice& notice) -> void
    {
        constexpr auto lossShare = 0.02;

        if (target >= nodes.size() || nodes[target].name == notice.node ||
            std::bernoulli_distribution (lossShare) (random))
            return;

        inTransit.push_back (
            { now + std::uniform_int_distribution<int> (1, 10) (random) * tick, target, notice });
    }

    auto deliver() -> void
    {
        for (auto place = inTransit.begin(); place != inTransit.end();)
        {
            if (place->arrival > now)
            {
                ++place;
                continue;
            }

            nodes[place->target].gathered.record (place->notice);
            place = inTransit.erase (place);
        }
    }

    auto count (double requestsPerSecond) -> void
    {
        if (now >= windowLength)
            return;

        const auto mean = requestsPerSecond * std::chrono::duration<double> (tick).count();

        for (auto left = std::poisson_distribution<int> (mean) (random); left > 0; --left)
        {
            auto& node = nodes[std::uniform_int_distribution<std::size_t> (0, nodes.size() - 1) (random)];
            node.usage.record ("alpha", now);
            ++counted;
        }
    }

    std::mt19937_64 random;
    Duration now {};
    std::vector<Node> nodes;
    std::deque<Datagram> inTransit;
    std::uint64_t counted = 0;
};

constexpr auto fleetSizes = std::array { 7, 77, 295, 1000 };
constexpr auto requestsPerSecond = 1000.0;

} // namespace

TEST_CASE ("each reader has all counts of a window two seconds after its end, in fleets of any size")
{
    for (const auto nodes : fleetSizes)
        for (auto seed = std::uint64_t { 1 }; seed <= 3; ++seed)
        {
            INFO ("nodes " << nodes << ", seed " << seed);
            UsageFleet fleet (static_cast<std::size_t> (nodes), seed);
            fleet.run (UsageFleet::windowLength + 2s, requestsPerSecond);

            for (auto reader = std::size_t { 0 }; reader < static_cast<std::size_t> (std::min (12, nodes));
                 ++reader)
                CHECK (fleet.countedAt (reader) == fleet.truth());
        }
}

TEST_CASE ("a reader that is killed in a window loses only its own counts that it had not sent")
{
    // The node loses its requests of the last half second and of the notice's transit time, a small part of the
    // fleet's.
    constexpr auto toleratedLossShare = 0.01;

    for (const auto nodes : { 77, 295, 1000 })
        for (auto seed = std::uint64_t { 1 }; seed <= 3; ++seed)
        {
            INFO ("nodes " << nodes << ", seed " << seed);
            UsageFleet fleet (static_cast<std::size_t> (nodes), seed);
            fleet.run (3s, requestsPerSecond);
            fleet.restart (1);
            fleet.run (UsageFleet::windowLength - 1s, requestsPerSecond);

            for (const auto reader : { std::size_t { 0 }, std::size_t { 1 }, std::size_t { 7 } })
            {
                const auto truth = static_cast<double> (fleet.truth());
                CHECK (static_cast<double> (fleet.countedAt (reader)) >= truth * (1.0 - toleratedLossShare));
                CHECK (fleet.countedAt (reader) <= fleet.truth());
            }
        }
}

TEST_CASE ("a reader sends the sum of all others to a node, and the sum of its nodes to the other readers")
{
    PeerTable peers (start);
    peers.record (reportOf ("one", 100.0, 10.0), start);
    peers.record (reportOf ("two", 40.0, 4.0), start);
    auto ofReader = reportOf ("reader-b", 1000.0, 100.0);
    ofReader.scope = ReportScope::nodesOfReader;
    ofReader.nodes = 5;
    peers.record (ofReader, start);
    peers.refreshRates (start);

    const auto nodes = peers.withNodes (reportOf ("reader-a", 7.0, 1.0), start);
    CHECK (nodes.scope == ReportScope::nodesOfReader);
    CHECK (nodes.nodes == 3);
    CHECK (nodes.admitted.at ("alpha").tokens == Approx (147.0));
    CHECK (nodes.admitted.at ("alpha").requestedPerSecond == Approx (15.0));
    CHECK (nodes.work.at ("model").inFlight == Approx (6.0));

    const auto others = peers.withAllBut (reportOf ("reader-a", 7.0, 1.0), "one", start);
    CHECK (others.scope == ReportScope::allOthers);
    CHECK (others.nodes == 7);
    CHECK (others.admitted.at ("alpha").tokens == Approx (1047.0));
    CHECK (others.admitted.at ("alpha").requestedPerSecond == Approx (105.0));
}

TEST_CASE ("an account that a report leaves out keeps its total")
{
    PeerTable peers (start);
    auto report = reportOf ("one", 100.0, 10.0);
    peers.record (report, start);
    report.sequence = 2;
    report.admitted.clear();
    CHECK (peers.record (report, start + 1s).empty());
    report.sequence = 3;
    report.admitted["alpha"].tokens = 130.0;
    CHECK (peers.record (report, start + 2s)["alpha"] == Approx (30.0));
}

TEST_CASE ("a node that changes its reader charges only for the time without one")
{
    PeerTable peers (start);
    auto first = reportOf ("reader-a", 10'000.0, 500.0);
    first.isSettled = true;
    peers.record (first, start + 60s);

    // Tokens charged during one second of silence are given back, since the next reader's report covers the gap.
    CHECK (peers.chargeSilentPeers (100ms, start + 61s)["alpha"] == Approx (50.0));
    CHECK (peers.forgetAll()["alpha"] == Approx (-50.0));

    auto second = reportOf ("reader-b", 90'000.0, 500.0);
    second.isSettled = true;
    CHECK (peers.record (second, start + 61s)["alpha"] == Approx (500.0));
}

TEST_CASE ("a node keeps a reader that responds, and otherwise changes to the next one")
{
    const std::vector own { endpointOf (1), endpointOf (2) };
    const std::vector others { endpointOf (3) };
    ReportRoute route;
    CHECK (updateReportRoute (route, own, others, "node", {}, start));
    const auto first = route.reader;
    CHECK_FALSE (updateReportRoute (route, own, others, "node", start, start + 900ms));
    CHECK (route.reader == first);

    CHECK (updateReportRoute (route, own, others, "node", start, start + 1200ms));
    CHECK (route.reader != first);
    CHECK_FALSE (updateReportRoute (route, own, others, "node", start, start + 1400ms));

    CHECK (updateReportRoute (route, own, others, "node", start, start + 2500ms));
    CHECK (route.reader == endpointOf (3));

    // New readers of the failure domain reset the route.
    CHECK (updateReportRoute (route, { endpointOf (5) }, others, "node", start + 2600ms, start + 2700ms));
    CHECK (route.reader == endpointOf (5));
}

TEST_CASE ("nodes of one failure domain spread over its readers")
{
    const std::vector own { endpointOf (1), endpointOf (2) };
    auto atFirst = 0;

    for (auto node = 0; node < 100; ++node)
    {
        ReportRoute route;
        updateReportRoute (route, own, {}, "front-" + std::to_string (node), {}, start);
        atFirst += route.reader == endpointOf (1) ? 1 : 0;
    }

    CHECK (atFirst > 30);
    CHECK (atFirst < 70);
}

TEST_CASE (
    "announcements of prompts stay within a budget in fleets of any size, and larger prompts come first")
{
    // Rate of long prompts of all sizes in the whole fleet.
    constexpr auto promptsPerSecond = 165.0;
    constexpr auto seconds = 60;

    for (const auto nodes : { 7, 77, 295, 1000 })
    {
        INFO ("nodes " << nodes);
        std::mt19937_64 random (1);
        std::uniform_real_distribution<double> sizes (minAnnouncedTokens, largePromptTokens);
        std::vector<PromptBudget> budgets (static_cast<std::size_t> (nodes));
        auto announced = 0;
        auto announcedLarge = 0;

        for (auto at = 0; at < seconds * static_cast<int> (promptsPerSecond); ++at)
        {
            auto& budget = budgets[random() % budgets.size()];
            const auto time = start + std::chrono::duration_cast<Duration> (
                                          std::chrono::duration<double> (at / promptsPerSecond));
            const auto size = sizes (random);

            if (! mayAnnounce (budget, size, budgets.size() - 1, time))
                continue;

            ++announced;
            announcedLarge += size > 0.5 * largePromptTokens ? 1 : 0;
        }

        // Each announcement reaches every other node.
        const auto receivedPerSecond = static_cast<double> (announced) / seconds;
        CHECK (receivedPerSecond <= 1.6 * promptDatagramsPerSecond * nodes / (nodes - 1));

        if (nodes >= 295)
            CHECK (announcedLarge > announced / 2);
    }

    PromptBudget budget;
    CHECK_FALSE (mayAnnounce (budget, minAnnouncedTokens - 1.0, 6, start));
    CHECK (mayAnnounce (budget, minAnnouncedTokens, 6, start));
}

TEST_CASE (
    "a node accepts only reports meant for its role, and responds only to members and to new processes")
{
    CHECK (reportRole (maxDirectNodes, true) == ReportRole::direct);
    CHECK (reportRole (maxDirectNodes + 1, true) == ReportRole::reader);
    CHECK (reportRole (maxDirectNodes + 1, false) == ReportRole::member);

    // Direct: each node reports its own figures, and a first report gets a response.
    CHECK (scopeToSend (ReportRole::direct) == ReportScope::node);
    CHECK (shouldAcceptReport (ReportRole::direct, ReportScope::node, false));
    CHECK_FALSE (shouldAcceptReport (ReportRole::direct, ReportScope::allOthers, true));
    CHECK_FALSE (shouldAcceptReport (ReportRole::direct, ReportScope::nodesOfReader, false));
    CHECK (scopeToRespond (ReportRole::direct, ReportScope::node, true) == ReportScope::node);
    CHECK_FALSE (scopeToRespond (ReportRole::direct, ReportScope::node, false));

    // Reader: each report of a member gets a response, and another reader's first one gets this reader's sum.
    CHECK (scopeToSend (ReportRole::reader) == ReportScope::nodesOfReader);
    CHECK (shouldAcceptReport (ReportRole::reader, ReportScope::node, false));
    CHECK (shouldAcceptReport (ReportRole::reader, ReportScope::nodesOfReader, false));
    CHECK_FALSE (shouldAcceptReport (ReportRole::reader, ReportScope::allOthers, true));
    CHECK (scopeToRespond (ReportRole::reader, ReportScope::node, false) == ReportScope::allOthers);
    CHECK (scopeToRespond (ReportRole::reader, ReportScope::nodesOfReader, true) ==
           ReportScope::nodesOfReader);
    CHECK_FALSE (scopeToRespond (ReportRole::reader, ReportScope::nodesOfReader, false));

    // Member: only its own reader's reports are accepted. They get no response, not even a reader's first one.
    CHECK (scopeToSend (ReportRole::member) == ReportScope::node);
    CHECK (shouldAcceptReport (ReportRole::member, ReportScope::allOthers, true));
    CHECK_FALSE (shouldAcceptReport (ReportRole::member, ReportScope::allOthers, false));
    CHECK_FALSE (shouldAcceptReport (ReportRole::member, ReportScope::node, true));
    CHECK_FALSE (scopeToRespond (ReportRole::member, ReportScope::allOthers, true));
}
