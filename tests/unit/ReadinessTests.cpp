#include "ServingFixtures.h"

#include "snowrudder_serving/node/Readiness.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

constexpr auto ready = ReadinessFacts { true, true, true, false };
constexpr auto withoutReplicas = ReadinessFacts { true, true, false, false };
constexpr auto withoutAnything = ReadinessFacts {};

/** A line that a node wrote about its readiness. */
struct Line
{
    Duration time {};
    ReadinessNews news = ReadinessNews::none;
    std::string gaps;

    auto operator== (const Line&) const -> bool = default;
};

/** A node in virtual time that looks at its readiness each 100 ms. */
struct WatchedNode
{
    ReadinessWatch watch;
    std::vector<Line> lines;
    Duration time {};

    auto run (const ReadinessFacts& facts, Duration length) -> void
    {
        for (const auto end = time + length; time < end; time += 100ms)
        {
            const auto gaps = readinessGapsOf (facts);
            const auto news = recordReadiness (watch, gaps, start + time);

            if (news != ReadinessNews::none)
                lines.push_back ({ time, news, toString (gaps) });
        }
    }
};

} // namespace

TEST_CASE ("a node is ready only with a proved configuration and replicas, and not while it leaves")
{
    CHECK (readinessGapsOf (ready).isEmpty());
    CHECK (toString (readinessGapsOf (withoutAnything)) == "configuration,replicas");
    CHECK (toString (readinessGapsOf ({ true, false, true, false })) == "proof");
    CHECK (toString (readinessGapsOf (withoutReplicas)) == "replicas");
    CHECK (toString (readinessGapsOf ({ true, true, true, true })) == "leaving");
    CHECK (toString (readinessGapsOf ({ true, false, false, true })) == "proof,replicas,leaving");
}

TEST_CASE ("a node that never gets ready says why at its start, after 1 s, then every 5 s")
{
    WatchedNode node;
    node.run (withoutAnything, 21s);
    std::vector<Line> expected;

    for (const auto time : { 0s, 1s, 6s, 11s, 16s })
        expected.push_back ({ time, ReadinessNews::notReady, "configuration,replicas" });

    CHECK (node.lines == expected);
    CHECK (gapTime (node.watch, ReadinessGap::replicas, start + 21s) == 21s);
    CHECK (gapTime (node.watch, ReadinessGap::leaving, start + 21s) == 0s);
}

TEST_CASE ("what a node lacks is logged as it changes, and that it is ready")
{
    WatchedNode node;
    node.run (withoutAnything, 300ms);
    node.run (withoutReplicas, 400ms);
    node.run (ready, 10s);
    CHECK (node.lines == std::vector<Line> { { 0ms, ReadinessNews::notReady, "configuration,replicas" },
                                             { 300ms, ReadinessNews::notReady, "replicas" },
                                             { 700ms, ReadinessNews::ready, "" } });
    CHECK (node.watch.notReadySince == start);

    node.run ({ true, false, true, false }, 1s);
    CHECK (node.lines.back() == Line { 10s + 700ms, ReadinessNews::notReady, "proof" });
    CHECK (node.watch.notReadySince == start + 10s + 700ms);
    CHECK (gapTime (node.watch, ReadinessGap::proof, start + 11s) == 300ms);
    CHECK (gapTime (node.watch, ReadinessGap::replicas, start + 11s) == 0s);
}

TEST_CASE ("a node that is ready from the first moment says so once")
{
    WatchedNode node;
    node.run (ready, 30s);
    CHECK (node.lines == std::vector<Line> { { 0ms, ReadinessNews::ready, "" } });
    CHECK (node.watch.notReadySince == start);
}

TEST_CASE ("a node whose readiness comes and goes doesn't fill its log, and its last line is true")
{
    WatchedNode node;

    for (auto round = 0; round < 300; ++round)
        node.run (round % 2 == 0 ? withoutReplicas : ready, 100ms);

    // Four at once, and one a second.
    CHECK (node.lines.size() <= 4 + 30 + 1);
    CHECK (node.lines.size() >= 30);

    node.run (ready, 2s);
    CHECK (node.lines.back().news == ReadinessNews::ready);
    node.run (withoutReplicas, 1s + 100ms);
    CHECK (node.lines.back().news == ReadinessNews::notReady);
}
