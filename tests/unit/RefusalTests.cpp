#include "PathWorld.h"
#include "ServingFixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

constexpr auto cutFrom = Duration (4s);
constexpr auto firstSeconds = Duration (3s);
constexpr auto runLength = Duration (9s);

/** Longest time from the end of an answer to the proof, as the tests of crashes on processes need it. */
constexpr auto maxProofTime = Duration (50ms);

auto firstNodes (std::size_t count) -> std::vector<std::size_t>
{
    std::vector<std::size_t> chosen (count);
    std::iota (chosen.begin(), chosen.end(), std::size_t { 0 });
    return chosen;
}

/** @returns the nodes of whole failure domains, and of the next one as far as needed. */
auto nodesByDomain (std::size_t nodes, std::size_t count) -> std::vector<std::size_t>
{
    auto chosen = firstNodes (nodes);
    std::ranges::stable_sort (chosen, {}, &PathWorld::domainOf);
    chosen.resize (count);
    return chosen;
}

auto witnessNode (std::uint16_t port) -> RelayNodes::Endpoint
{
    return { boost::asio::ip::address_v4::loopback(), port };
}

struct Shares
{
    double others = 0.0;
    std::size_t falseProofs = 0;
};

auto cutOff (std::size_t nodes,
             const std::vector<std::size_t>& cut,
             CutKind kind,
             std::uint64_t seed,
             Duration spread = {}) -> Shares
{
    PathWorld world (nodes, seed);
    world.cut (cut, kind, cutFrom, cutFrom + firstSeconds, spread);
    world.run (runLength);
    const std::set<std::size_t> isCut (cut.begin(), cut.end());
    const auto falseProofs =
        std::ranges::count_if (world.crashProofs(), [] (const auto& proof) { return ! proof.isTrue; });
    return { world.servedShare (cutFrom, cutFrom + firstSeconds,
                                [&isCut] (std::size_t node) { return ! isCut.contains (node); }),
             static_cast<std::size_t> (falseProofs) };
}

} // namespace

// Two cut nodes confirmed to each other that live replicas refuse connections, which all nodes then believed.
TEST_CASE ("nodes that are cut off together prove no crash to the other nodes")
{
    for (const auto nodes : { 5U, 7U, 83U, 295U, 986U })
        for (const auto kind : { CutKind::refused, CutKind::reset, CutKind::hang })
            for (const auto count : { std::size_t { 1 }, std::size_t { 2 }, std::size_t { nodes / 4 },
                                      std::size_t { nodes / 2 } })
                for (const auto& cut : { firstNodes (count), nodesByDomain (nodes, count) })
                {
                    const auto shares = cutOff (nodes, cut, kind, nodes + count);
                    INFO (nodes << " nodes, " << count << " cut, kind " << static_cast<int> (kind)
                                << ", the others' share " << shares.others);
                    CHECK (shares.falseProofs == 0);
                    CHECK (shares.others == 1.0);
                }
}

// A node that had lost some of its paths reached another replica, and so confirmed the refusals of a node that was cut off.
TEST_CASE ("two nodes that lose their paths one after the other prove no crash")
{
    constexpr auto seeds = std::uint64_t { 20 };

    for (const auto nodes : { 3U, 5U, 7U, 83U, 295U, 986U })
        for (const auto spread : { Duration (20ms), Duration (200ms), Duration (2s) })
        {
            auto falseProofs = std::size_t { 0 };

            for (auto seed = std::uint64_t { 0 }; seed < (nodes > 100 ? 3 : seeds); ++seed)
                falseProofs +=
                    cutOff (nodes, firstNodes (2), CutKind::refused, nodes + seed, spread).falseProofs;

            INFO (nodes << " nodes, paths cut over " << inMilliseconds (spread) << " ms");
            CHECK (falseProofs == 0);
        }
}

TEST_CASE ("replicas that crash are proved at once, also while up to half of the nodes are cut off")
{
    constexpr auto first = std::uint32_t { 7 };

    for (const auto nodes : { 7U, 83U, 295U, 986U })
        for (const auto cut :
             { std::size_t { 0 }, std::size_t { 1 }, std::size_t { nodes / 4 }, std::size_t { nodes / 2 } })
            for (const auto ended : { 1U, 10U })
            {
                PathWorld world (nodes, nodes * 3 + cut + ended);
                world.cut (firstNodes (cut), CutKind::refused, cutFrom, cutFrom + firstSeconds);
                world.endReplicas (first, ended, cutFrom);
                world.run (runLength);

                std::set<std::uint32_t> proved;
                auto isAllTrue = true;

                for (const auto& proof : world.crashProofs())
                {
                    isAllTrue = isAllTrue && proof.isTrue;

                    if (proof.proved - proof.noticed <= maxProofTime)
                        proved.insert (proof.replica);
                }

                INFO (nodes << " nodes, " << cut << " cut, " << ended << " replicas end, " << proved.size()
                            << " proved in time");
                CHECK (isAllTrue);
                CHECK (proved.size() == ended);
            }
}

TEST_CASE ("a refusal counts only from a node that reaches another replica")
{
    CHECK (witnessOf (true, true) == WitnessAnswer::refused);
    CHECK (witnessOf (true, false) == WitnessAnswer::unverified);
    CHECK (witnessOf (false, true) == WitnessAnswer::unverified);

    RefusalInquiry inquiry;
    CHECK (neededWitnesses (inquiry) == neededRefusals);
    CHECK (resultOf (inquiry) == EndpointState::silent);

    recordWitness (inquiry, witnessNode (1), WitnessAnswer::unverified);
    recordWitness (inquiry, witnessNode (2), WitnessAnswer::none);
    CHECK (neededWitnesses (inquiry) == neededRefusals);
    CHECK (resultOf (inquiry) == EndpointState::silent);

    auto refused = inquiry;
    recordWitness (refused, witnessNode (3), WitnessAnswer::refused);
    CHECK (neededWitnesses (refused) == neededRefusals - 1);
    CHECK (resultOf (refused) == EndpointState::silent);

    auto reached = refused;
    recordWitness (reached, witnessNode (4), WitnessAnswer::reached);
    CHECK (neededWitnesses (reached) == 0);
    CHECK (resultOf (reached) == EndpointState::reachedByOthers);

    auto alone = refused;
    alone.hasAskedAll = true;
    CHECK (neededWitnesses (alone) == 0);
    CHECK (resultOf (alone) == EndpointState::refuses);

    recordWitness (refused, witnessNode (4), WitnessAnswer::refused);
    CHECK (neededWitnesses (refused) == 0);
    CHECK (resultOf (refused) == EndpointState::refuses);

    while (neededWitnesses (inquiry) > 0)
        recordWitness (inquiry, witnessNode (5), WitnessAnswer::unverified);

    CHECK (inquiry.asked.size() == maxWitnesses);
    CHECK (resultOf (inquiry) == EndpointState::silent);
}

TEST_CASE ("without another replica by which to verify paths, several nodes' word has to do")
{
    RefusalInquiry inquiry;
    inquiry.isOnlyReplica = true;
    CHECK (resultOf (inquiry) == EndpointState::silent);
    recordWitness (inquiry, witnessNode (1), WitnessAnswer::unverified);
    CHECK (neededWitnesses (inquiry) > 0);
    CHECK (resultOf (inquiry) == EndpointState::refuses);
    recordWitness (inquiry, witnessNode (2), WitnessAnswer::reached);
    CHECK (resultOf (inquiry) == EndpointState::reachedByOthers);
}
