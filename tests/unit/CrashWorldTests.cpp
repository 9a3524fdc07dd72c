#include "CrashWorld.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

constexpr auto mostCrashes = std::size_t { 5 };
constexpr auto servedShare = 0.99;

/** Seeds of each plan; SNOWRUDDER_CRASH_SEEDS asks for more. */
auto seeds() -> unsigned
{
    constexpr auto usual = 20U;
    const auto* const asked = std::getenv ("SNOWRUDDER_CRASH_SEEDS");
    return asked == nullptr ? usual : static_cast<unsigned> (std::strtoul (asked, nullptr, 10));
}

auto recordCrash (CrashTable& table, const RequestFingerprint& request, std::uint64_t replica, TimePoint now)
    -> void
{
    table.recordCrash (request, "alpha", { replica, now });
}

/** What came of all seeds. */
struct Sums
{
    std::size_t mostCrashes = 0;
    std::size_t lateSends = 0;
    std::size_t notStopped = 0;
    std::size_t innocentsStopped = 0;
    double sent = 0.0;
    double served = 0.0;
};

auto playSeeds (CrashPlan plan, unsigned count = seeds()) -> Sums
{
    Sums sums;

    for (plan.seed = 0; plan.seed < count; ++plan.seed)
    {
        const auto outcome = CrashWorld (plan).play();
        sums.mostCrashes = std::max (sums.mostCrashes, *std::ranges::max_element (outcome.crashes));
        sums.lateSends += outcome.lateSends;
        sums.notStopped += outcome.notStopped;
        sums.innocentsStopped += outcome.innocentsStopped;
        sums.sent += static_cast<double> (outcome.othersSent);
        sums.served += static_cast<double> (outcome.othersServed);
    }

    return sums;
}

} // namespace

// Two callers each repeat a request that ends its replicas. Their first repeats run on the same replicas, so that the record of
// either one is full of crashes that it shares with the other. It kept the earliest eight and took no newer ones: the first
// request was stopped, its eight crashes "explained" those of the second, and that one went on for good. Of a run in which 72
// replicas ended: the second request stood at `crashes=7 verdict=suspected` to the end, beside 138 lines of `crash_evidence`
// that named ever new replicas.

TEST_CASE (
    "A request that goes on to end replicas is stopped also where its first crashes were another one's too")
{
    CrashTable table;
    const auto requestNamed = [] (std::string_view body) {
        return fingerprintOf ("secret", { "alpha", "POST", "one.example", "/x", body });
    };
    const auto first = requestNamed ("first");
    const auto second = requestNamed ("second");
    const auto start = TimePoint() + std::chrono::hours (1);
    auto replica = std::uint64_t { 0 };
    auto now = start;

    // Two of the crashes are so close that they count once.
    for (const auto pause : { 100ms, 100ms, 100ms, 100ms, 100ms, 100ms, 100ms, 100ms })
    {
        now += pause;
        recordCrash (table, first, ++replica, now);
        recordCrash (table, second, replica, replica == 8 ? now - 60ms : now);
    }

    now += 1s;
    REQUIRE (table.assess (first, now).verdict == CrashVerdict::stopped);

    for (auto count = 0; count < 3; ++count)
    {
        now += 300ms;
        recordCrash (table, second, ++replica, now);
    }

    now += 1s;
    CHECK (table.assess (second, now).verdict == CrashVerdict::stopped);
}

TEST_CASE ("Each of several fatal requests at once is stopped, and nothing else", "[crash-world]")
{
    CrashPlan plan;
    plan.fatalCallers = GENERATE (std::size_t { 1 }, std::size_t { 2 }, std::size_t { 5 });
    plan.replicas = GENERATE (std::size_t { 12 }, std::size_t { 204 });
    plan.isOneAccount = GENERATE (false, true);
    const auto sums = playSeeds (plan);

    CAPTURE (plan.fatalCallers, plan.replicas, plan.isOneAccount);
    CHECK (sums.lateSends == 0);
    CHECK (sums.notStopped == 0);
    CHECK (sums.innocentsStopped == 0);
    CHECK (sums.served >= servedShare * sums.sent);

    CHECK (sums.mostCrashes <= mostCrashes);
}

TEST_CASE ("Fatal requests beside each other are stopped in fleets of any size", "[crash-world]")
{
    CrashPlan plan;
    plan.fatalCallers = 5;
    plan.nodes = GENERATE (std::size_t { 77 }, std::size_t { 295 });
    plan.replicas = GENERATE (std::size_t { 12 }, std::size_t { 204 });
    plan.length = 6s;
    const auto sums = playSeeds (plan, std::min (seeds(), 3U));

    CAPTURE (plan.nodes, plan.replicas);
    CHECK (sums.lateSends == 0);
    CHECK (sums.innocentsStopped == 0);
    CHECK (sums.served >= servedShare * sums.sent);
    CHECK (sums.mostCrashes <= mostCrashes);
}

TEST_CASE ("Fatal requests are stopped where the addresses of their replicas go on accepting",
           "[crash-world]")
{
    CrashPlan plan;
    plan.isAddressAccepting = true;
    plan.entryLifetime = 300ms;
    plan.fatalCallers = GENERATE (std::size_t { 2 }, std::size_t { 5 });
    const auto sums = playSeeds (plan);

    CAPTURE (plan.fatalCallers);
    CHECK (sums.lateSends == 0);
    CHECK (sums.notStopped == 0);
    CHECK (sums.innocentsStopped == 0);
    CHECK (sums.served >= servedShare * sums.sent);
}

TEST_CASE ("Five fatal requests on twelve replicas end five replicas each at most", "[crash-world]")
{
    CrashPlan plan;
    plan.fatalCallers = 5;
    CHECK (playSeeds (plan).mostCrashes <= mostCrashes);
}

TEST_CASE ("No fatal request is sent late where proofs and messages take long", "[crash-world]")
{
    CrashPlan plan;
    plan.maxProofDelay = 1500ms;
    plan.maxMessageDelay = 400ms;
    plan.fatalCallers = GENERATE (std::size_t { 2 }, std::size_t { 5 });
    const auto sums = playSeeds (plan);

    CAPTURE (plan.fatalCallers);
    CHECK (sums.lateSends == 0);
    CHECK (sums.notStopped == 0);
    CHECK (sums.innocentsStopped == 0);
}
