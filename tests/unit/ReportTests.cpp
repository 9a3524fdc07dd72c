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

/** Nodes of six failure domains with two readers each that tell their counts of one window as UsageNotice says, in virtual
    time, with datagrams that come late, twice or not at all.
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
                tell (node);

            deliver();
            count (requestsPerSecond);
        }
    }

    /** Kills a node: it starts again and knows nothing. */
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

    auto tell (Node& node) -> void
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
        constexpr auto lostPart = 0.02;

        if (target >= nodes.size() || nodes[target].name == notice.node ||
            std::bernoulli_distribution (lostPart) (random))
            return;

        underWay.push_back (
            { now + std::uniform_int_distribution<int> (1, 10) (random) * tick, target, notice });
    }

    auto deliver() -> void
    {
        for (auto place = underWay.begin(); place != underWay.end();)
        {
            if (place->arrival > now)
            {
                ++place;
                continue;
            }

            nodes[place->target].gathered.record (place->notice);
            place = underWay.erase (place);
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
    std::deque<Datagram> underWay;
    std::uint64_t counted = 0;
};

constexpr auto fleetSizes = std::array { 7, 77, 295, 1000 };
constexpr auto requestsPerSecond = 1000.0;

} // namespace

TEST_CASE ("each reader knows all counts of a window two seconds after its end, however many nodes there are")
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

TEST_CASE ("a reader that is killed in a window costs only what it had not told itself")
{
    // All its requests of the last half second and of the way: one node's among as many as there are.
    constexpr auto toleratedPart = 0.01;

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
                CHECK (static_cast<double> (fleet.countedAt (reader)) >= truth * (1.0 - toleratedPart));
                CHECK (fleet.countedAt (reader) <= fleet.truth());
            }
        }
}

TEST_CASE ("a reader tells a node of all others, and the other readers of its nodes")
{
    PeerTable peers (start);
    peers.note (reportOf ("one", 100.0, 10.0), start);
    peers.note (reportOf ("two", 40.0, 4.0), start);
    auto ofReader = reportOf ("reader-b", 1000.0, 100.0);
    ofReader.scope = ReportScope::nodesOfReader;
    ofReader.nodes = 5;
    peers.note (ofReader, start);
    peers.refreshRates (start);

    const auto nodes = peers.withNodes (reportOf ("reader-a", 7.0, 1.0), start);
    CHECK (nodes.scope == ReportScope::nodesOfReader);
    CHECK (nodes.nodes == 3);
    CHECK (nodes.admitted.at ("alpha").tokens == Approx (147.0));
    CHECK (nodes.admitted.at ("alpha").askedPerSecond == Approx (15.0));
    CHECK (nodes.work.at ("model").inFlight == Approx (6.0));

    const auto others = peers.withAllBut (reportOf ("reader-a", 7.0, 1.0), "one", start);
    CHECK (others.scope == ReportScope::allOthers);
    CHECK (others.nodes == 7);
    CHECK (others.admitted.at ("alpha").tokens == Approx (1047.0));
    CHECK (others.admitted.at ("alpha").askedPerSecond == Approx (105.0));
}

TEST_CASE ("an account that a report leaves out keeps its total")
{
    PeerTable peers (start);
    auto report = reportOf ("one", 100.0, 10.0);
    peers.note (report, start);
    report.sequence = 2;
    report.admitted.clear();
    CHECK (peers.note (report, start + 1s).empty());
    report.sequence = 3;
    report.admitted["alpha"].tokens = 130.0;
    CHECK (peers.note (report, start + 2s)["alpha"] == Approx (30.0));
}

TEST_CASE ("a node that changes its reader is charged only for the time in which it had none")
{
    PeerTable peers (start);
    auto first = reportOf ("reader-a", 10'000.0, 500.0);
    first.isSettled = true;
    peers.note (first, start + 60s);

    // One second of silence is charged for, and given back: the next reader's word covers the gap.
    CHECK (peers.assumeSilent (100ms, start + 61s)["alpha"] == Approx (50.0));
    CHECK (peers.forgetAll()["alpha"] == Approx (-50.0));

    auto second = reportOf ("reader-b", 90'000.0, 500.0);
    second.isSettled = true;
    CHECK (peers.note (second, start + 61s)["alpha"] == Approx (500.0));
}

TEST_CASE ("a node keeps to a reader that answers, and goes on to the next one that it has")
{
    const std::vector own { endpointOf (1), endpointOf (2) };
    const std::vector others { endpointOf (3) };
    ReportRoute route;
    CHECK (keepReportRoute (route, own, others, "node", {}, start));
    const auto first = route.reader;
    CHECK_FALSE (keepReportRoute (route, own, others, "node", start, start + 900ms));
    CHECK (route.reader == first);

    CHECK (keepReportRoute (route, own, others, "node", start, start + 1200ms));
    CHECK (route.reader != first);
    CHECK_FALSE (keepReportRoute (route, own, others, "node", start, start + 1400ms));

    CHECK (keepReportRoute (route, own, others, "node", start, start + 2500ms));
    CHECK (route.reader == endpointOf (3));

    // Readers chosen anew begin anew.
    CHECK (keepReportRoute (route, { endpointOf (5) }, others, "node", start + 2600ms, start + 2700ms));
    CHECK (route.reader == endpointOf (5));
}

TEST_CASE ("nodes of one failure domain spread over its readers")
{
    const std::vector own { endpointOf (1), endpointOf (2) };
    auto atFirst = 0;

    for (auto node = 0; node < 100; ++node)
    {
        ReportRoute route;
        keepReportRoute (route, own, {}, "front-" + std::to_string (node), {}, start);
        atFirst += route.reader == endpointOf (1) ? 1 : 0;
    }

    CHECK (atFirst > 30);
    CHECK (atFirst < 70);
}

TEST_CASE (
    "what nodes tell each other of prompts stays within a budget at any size of fleet, the larger ones first")
{
    // Long prompts of all sizes a second, over the whole fleet.
    constexpr auto promptsPerSecond = 165.0;
    constexpr auto seconds = 60;

    for (const auto nodes : { 7, 77, 295, 1000 })
    {
        INFO ("nodes " << nodes);
        std::mt19937_64 random (1);
        std::uniform_real_distribution<double> sizes (announcedTokens, largePrompt);
        std::vector<PromptBudget> budgets (static_cast<std::size_t> (nodes));
        auto told = 0;
        auto toldLarge = 0;

        for (auto at = 0; at < seconds * static_cast<int> (promptsPerSecond); ++at)
        {
            auto& budget = budgets[random() % budgets.size()];
            const auto time = start + std::chrono::duration_cast<Duration> (
                                          std::chrono::duration<double> (at / promptsPerSecond));
            const auto size = sizes (random);

            if (! mayAnnounce (budget, size, budgets.size() - 1, time))
                continue;

            ++told;
            toldLarge += size > 0.5 * largePrompt ? 1 : 0;
        }

        // Each telling reaches every other node.
        const auto heardPerSecond = static_cast<double> (told) / seconds;
        CHECK (heardPerSecond <= 1.6 * promptDatagramsPerSecond * nodes / (nodes - 1));

        if (nodes >= 295)
            CHECK (toldLarge > told / 2);
    }

    PromptBudget budget;
    CHECK_FALSE (mayAnnounce (budget, announcedTokens - 1.0, 6, start));
    CHECK (mayAnnounce (budget, announcedTokens, 6, start));
}

TEST_CASE (
    "a node is told what its role needs, takes only that, and answers only who asks or has just started")
{
    CHECK (reportRole (mostTellingDirectly, true) == ReportRole::direct);
    CHECK (reportRole (mostTellingDirectly + 1, true) == ReportRole::reader);
    CHECK (reportRole (mostTellingDirectly + 1, false) == ReportRole::member);

    // Directly: each node for itself, and a first report is answered.
    CHECK (scopeToTell (ReportRole::direct) == ReportScope::node);
    CHECK (isWantedReport (ReportRole::direct, ReportScope::node, false));
    CHECK_FALSE (isWantedReport (ReportRole::direct, ReportScope::allOthers, true));
    CHECK_FALSE (isWantedReport (ReportRole::direct, ReportScope::nodesOfReader, false));
    CHECK (scopeToAnswer (ReportRole::direct, ReportScope::node, true) == ReportScope::node);
    CHECK_FALSE (scopeToAnswer (ReportRole::direct, ReportScope::node, false));

    // A reader: each report of a member is answered; another reader's first one with its own sum.
    CHECK (scopeToTell (ReportRole::reader) == ReportScope::nodesOfReader);
    CHECK (isWantedReport (ReportRole::reader, ReportScope::node, false));
    CHECK (isWantedReport (ReportRole::reader, ReportScope::nodesOfReader, false));
    CHECK_FALSE (isWantedReport (ReportRole::reader, ReportScope::allOthers, true));
    CHECK (scopeToAnswer (ReportRole::reader, ReportScope::node, false) == ReportScope::allOthers);
    CHECK (scopeToAnswer (ReportRole::reader, ReportScope::nodesOfReader, true) ==
           ReportScope::nodesOfReader);
    CHECK_FALSE (scopeToAnswer (ReportRole::reader, ReportScope::nodesOfReader, false));

    // A member: only its own reader's word, which is no question, not even the first one of a reader.
    CHECK (scopeToTell (ReportRole::member) == ReportScope::node);
    CHECK (isWantedReport (ReportRole::member, ReportScope::allOthers, true));
    CHECK_FALSE (isWantedReport (ReportRole::member, ReportScope::allOthers, false));
    CHECK_FALSE (isWantedReport (ReportRole::member, ReportScope::node, true));
    CHECK_FALSE (scopeToAnswer (ReportRole::member, ReportScope::allOthers, true));
}
