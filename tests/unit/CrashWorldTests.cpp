#include "CrashWorld.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

constexpr auto maxCrashes = std::size_t { 5 };
constexpr auto minServedShare = 0.99;

/** @returns the number of seeds to run for each plan; the variable SNOWRUDDER_CRASH_SEEDS overrides it. */
auto seeds() -> unsigned
{
    constexpr auto defaultCount = 20U;
    const auto* const asked = std::getenv ("SNOWRUDDER_CRASH_SEEDS");
    return asked == nullptr ? defaultCount : static_cast<unsigned> (std::strtoul (asked, nullptr, 10));
}

auto recordCrash (CrashTable& table, const RequestFingerprint& request, std::uint64_t replica, TimePoint now)
    -> void
{
    table.recordCrash (request, "alpha", { replica, now });
}

/** Results of all seeds of a plan. */
struct Totals
{
    std::size_t maxCrashes = 0;
    std::size_t lateSends = 0;
    std::size_t notStopped = 0;
    std::size_t nonFatalStopped = 0;
    double sent = 0.0;
    double served = 0.0;
};

auto runSeeds (CrashPlan plan, unsigned count = seeds()) -> Totals
{
    Totals totals;

    for (plan.seed = 0; plan.seed < count; ++plan.seed)
    {
        const auto outcome = CrashWorld (plan).play();
        totals.maxCrashes = std::max (totals.maxCrashes, *std::ranges::max_element (outcome.crashes));
        totals.lateSends += outcome.lateSends;
        totals.notStopped += outcome.notStopped;
        totals.nonFatalStopped += outcome.nonFatalStopped;
        totals.sent += static_cast<double> (outcome.othersSent);
        totals.served += static_cast<double> (outcome.othersServed);
    }

    return totals;
}

} // namespace

// Guards against a table that keeps the earliest crashes of a request instead of the latest. Two fatal requests first
// run on the same replicas, so that the evidence of each fills up with shared crashes. With only the earliest eight
// kept, the first request was stopped, its crashes explained all those of the second, and the second was never stopped:
// it ended 72 replicas in one run, with `crashes=7 verdict=suspected` throughout, while 138 lines of `crash_evidence`
// named further replicas.

TEST_CASE (
    "A request that keeps crashing replicas is stopped even if it shares its first crashes with another one")
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

    // The last two of these crashes of the second request are so close that they count once.
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

TEST_CASE ("Each of several concurrent fatal requests is stopped, and no other request", "[crash-world]")
{
    CrashPlan plan;
    plan.fatalCallers = GENERATE (std::size_t { 1 }, std::size_t { 2 }, std::size_t { 5 });
    plan.replicas = GENERATE (std::size_t { 12 }, std::size_t { 204 });
    plan.isOneAccount = GENERATE (false, true);
    const auto totals = runSeeds (plan);

    CAPTURE (plan.fatalCallers, plan.replicas, plan.isOneAccount);
    CHECK (totals.lateSends == 0);
    CHECK (totals.notStopped == 0);
    CHECK (totals.nonFatalStopped == 0);
    CHECK (totals.served >= minServedShare * totals.sent);

    CHECK (totals.maxCrashes <= maxCrashes);
}

TEST_CASE ("Concurrent fatal requests are stopped in fleets of any size", "[crash-world]")
{
    CrashPlan plan;
    plan.fatalCallers = 5;
    plan.nodes = GENERATE (std::size_t { 77 }, std::size_t { 295 });
    plan.replicas = GENERATE (std::size_t { 12 }, std::size_t { 204 });
    plan.length = 6s;
    const auto totals = runSeeds (plan, std::min (seeds(), 3U));

    CAPTURE (plan.nodes, plan.replicas);
    CHECK (totals.lateSends == 0);
    CHECK (totals.nonFatalStopped == 0);
    CHECK (totals.served >= minServedShare * totals.sent);
    CHECK (totals.maxCrashes <= maxCrashes);
}

TEST_CASE ("Fatal requests are stopped while the addresses of crashed replicas still accept connections",
           "[crash-world]")
{
    CrashPlan plan;
    plan.isAddressAccepting = true;
    plan.entryLifetime = 300ms;
    plan.fatalCallers = GENERATE (std::size_t { 2 }, std::size_t { 5 });
    const auto totals = runSeeds (plan);

    CAPTURE (plan.fatalCallers);
    CHECK (totals.lateSends == 0);
    CHECK (totals.notStopped == 0);
    CHECK (totals.nonFatalStopped == 0);
    CHECK (totals.served >= minServedShare * totals.sent);
}

TEST_CASE ("Five fatal requests on twelve replicas cause at most five crashes each", "[crash-world]")
{
    CrashPlan plan;
    plan.fatalCallers = 5;
    CHECK (runSeeds (plan).maxCrashes <= maxCrashes);
}

TEST_CASE ("No fatal request is sent late when proofs and messages are slow", "[crash-world]")
{
    CrashPlan plan;
    plan.maxProofDelay = 1500ms;
    plan.maxMessageDelay = 400ms;
    plan.fatalCallers = GENERATE (std::size_t { 2 }, std::size_t { 5 });
    const auto totals = runSeeds (plan);

    CAPTURE (plan.fatalCallers);
    CHECK (totals.lateSends == 0);
    CHECK (totals.notStopped == 0);
    CHECK (totals.nonFatalStopped == 0);
}
