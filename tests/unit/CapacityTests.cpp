#include "ServingFixtures.h"

#include "snowrudder_serving/capacity/CapacityMemory.h"
#include "snowrudder_serving/capacity/CapacityPlan.h"

#include <catch2/catch.hpp>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

auto scalingBounds() -> ScalingBounds
{
    ScalingBounds bounds;
    bounds.least = 1;
    bounds.most = 6;
    bounds.reclaimablePrice = 0.2;
    bounds.domainPrices = { { "a", 1.0 }, { "b", 0.8 }, { "c", 1.2 }, { "d", 0.9 } };
    return bounds;
}

auto totalOf (const std::map<std::string, DomainCapacity>& plan) -> DomainCapacity
{
    DomainCapacity total;

    for (const auto& [domain, capacity] : plan)
    {
        total.onDemand += capacity.onDemand;
        total.reclaimable += capacity.reclaimable;
    }

    return total;
}

/** @param each  replicas that serve in each of the four failure domains */
auto inputFor (double needed, DomainCapacity each = {}) -> CapacityInput
{
    CapacityInput input;
    input.bounds = scalingBounds();
    input.needed = needed;

    if (each != DomainCapacity())
        for (const auto& [domain, price] : input.bounds.domainPrices)
            input.serving[domain] = each;

    return input;
}

auto orderFor (std::uint32_t replicas, bool isReclaimable = true) -> CapacityOrder
{
    return { "model", "a", isReclaimable, replicas };
}

} // namespace

TEST_CASE ("reclaimable replicas cover the need when one failure domain loses its own")
{
    const auto input = inputFor (6.0, { 0, 2 });
    const auto plan = planCapacity (input);
    CHECK (totalOf (plan).onDemand == 0);
    CHECK (totalOf (plan).reclaimable == 8);

    for (const auto& [domain, capacity] : plan)
        CHECK (capacity.reclaimable == 2);
}

TEST_CASE ("on-demand replicas are released only as reclaimable ones serve, the most expensive first")
{
    auto input = inputFor (4.0, { 2, 0 });
    auto plan = planCapacity (input);
    CHECK (totalOf (plan).onDemand == 4);
    CHECK (plan["b"].onDemand == 2);
    CHECK (plan["d"].onDemand == 2);

    input.serving["a"].reclaimable = 1;
    input.serving["b"].reclaimable = 1;
    CHECK (totalOf (planCapacity (input)).onDemand == 2);
}

TEST_CASE ("on-demand replicas come back where too few reclaimable ones are left")
{
    auto input = inputFor (5.0);
    input.serving["a"] = { 0, 2 };
    input.serving["b"] = { 0, 1 };

    auto plan = planCapacity (input);
    CHECK (totalOf (plan).onDemand == 2);
    CHECK (plan["b"].onDemand == 2);
}

TEST_CASE ("during reclaims, on-demand replicas cover the failure domains that may be reclaimed next")
{
    auto input = inputFor (40.0, { 0, 14 });
    input.bounds.most = 46;
    input.onDemandShare = 0.6;
    CHECK (totalOf (planCapacity (input)).onDemand == 0);

    // Two domains may lose 28 of the 41 reclaimable replicas that are planned and serve; 24 are needed.
    input.serving["a"].reclaimable = 0;
    input.withoutReclaimable = { "a" };
    input.domainsAtRisk = 2;
    CHECK (totalOf (planCapacity (input)).onDemand == 11);

    // With one domain left, none of its reclaimable replicas count.
    input.serving["b"].reclaimable = 0;
    input.serving["c"].reclaimable = 0;
    input.withoutReclaimable = { "a", "b", "c" };
    CHECK (totalOf (planCapacity (input)).onDemand == 24);
}

TEST_CASE ("on-demand replicas that boot stay where they were ordered while reclaimable ones are ordered "
           "again in a domain")
{
    auto input = inputFor (16.0);
    input.bounds.most = 20;
    input.withoutReclaimable = { "a", "b", "c", "d" };
    auto plan = planCapacity (input);
    CHECK (plan["b"].onDemand == 16);

    input.orderedOnDemand["d"] = 10;
    input.withoutReclaimable.erase ("d");
    plan = planCapacity (input);
    CHECK (plan["d"].onDemand == 10);
    CHECK (plan["b"].onDemand == 6);
}

TEST_CASE ("on-demand replicas cover the slots of running requests, also above their share of the need")
{
    auto input = inputFor (10.0);
    input.onDemandShare = 0.5;
    input.withoutReclaimable = { "a", "b", "c", "d" };
    CHECK (totalOf (planCapacity (input)).onDemand == 5);
    input.neededForSlots = 7.2;
    CHECK (totalOf (planCapacity (input)).onDemand == 8);
}

TEST_CASE ("on-demand replicas leave capacity in each domain for reclaimable ones to come back")
{
    auto input = inputFor (60.0);
    input.bounds.most = 10;
    input.withoutReclaimable = { "a", "b", "c", "d" };

    for (const auto& [domain, capacity] : planCapacity (input))
        CHECK (capacity.onDemand == 8);
}

TEST_CASE ("orders for unavailable reclaimable replicas leave capacity for on-demand ones")
{
    auto input = inputFor (16.0);
    input.withoutReclaimable = { "a", "b", "c", "d" };
    input.serving["a"] = { 0, 1 };

    const auto plan = planCapacity (input);
    CHECK (totalOf (plan).reclaimable == 1);
    CHECK (totalOf (plan).onDemand == 15);
}

TEST_CASE ("the need rises at once and falls slowly")
{
    std::map<std::string, double> needed;
    CHECK (updateNeeded (needed, "model", 10.0, 500ms) == Approx (10.0));
    CHECK (updateNeeded (needed, "model", 20.0, 500ms) == Approx (20.0));
    const auto fallen = updateNeeded (needed, "model", 5.0, 500ms);
    CHECK (fallen < 20.0);
    CHECK (fallen > 19.0);
}

TEST_CASE ("a failure domain that loses most of its ordered reclaimable replicas was reclaimed")
{
    CapacityMemory memory;
    recordOrder (memory, orderFor (20), StoreOutcome::done, start);
    CHECK_FALSE (recordServing (memory, "model", "a", 0, start));
    CHECK_FALSE (recordServing (memory, "model", "a", 20, start + 5s));
    CHECK_FALSE (recordServing (memory, "model", "a", 15, start + 6s));
    CHECK_FALSE (isReclaimWave (memory, "model", start + 6s));
    CHECK (recordServing (memory, "model", "a", 3, start + 7s));
    CHECK (unavailableDomains (memory, "model", start + 7s).contains ("a"));
    CHECK (isReclaimWave (memory, "model", start + 7s));
    CHECK_FALSE (isReclaimWave (memory, "other", start + 7s));
    CHECK_FALSE (isReclaimWave (memory, "model", start + 20s));
}

TEST_CASE ("released replicas are not mistaken for reclaimed ones")
{
    CapacityMemory memory;
    recordOrder (memory, orderFor (20), StoreOutcome::done, start);
    recordServing (memory, "model", "a", 20, start);
    recordOrder (memory, orderFor (2), StoreOutcome::done, start + 1s);
    CHECK_FALSE (recordServing (memory, "model", "a", 2, start + 2s));
    CHECK_FALSE (isReclaimWave (memory, "model", start + 2s));
}

TEST_CASE ("a refused order is a sign of a reclaim wave, leaves the accepted one in force, and is not "
           "repeated at once")
{
    CapacityMemory memory;
    recordOrder (memory, orderFor (20), StoreOutcome::done, start);
    recordOrder (memory, orderFor (25), StoreOutcome::refused, start + 1s);
    CHECK (isReclaimWave (memory, "model", start + 1s));
    CHECK (unavailableDomains (memory, "model", start + 1s).contains ("a"));
    CHECK (unavailableDomains (memory, "model", start + 10s).empty());
    CHECK (orderedReplicas (memory, "model", "a", true) == 20);
    CHECK (orderedReplicas (memory, "model", "a", false) == 0);

    // On-demand replicas are normally available; a refused order for them is no sign of reclaims.
    CapacityMemory other;
    recordOrder (other, orderFor (5, false), StoreOutcome::refused, start);
    CHECK_FALSE (isReclaimWave (other, "model", start));
}

TEST_CASE ("an order is placed at once for more, in steps for fewer, and again when the serving number "
           "differs")
{
    CapacityMemory memory;
    constexpr auto boot = Duration (4s);
    CHECK (isOrderDue (memory, orderFor (18), 18, boot, start));
    recordOrder (memory, orderFor (18), StoreOutcome::done, start);
    CHECK_FALSE (isOrderDue (memory, orderFor (18), 18, boot, start + 20s));
    CHECK (isOrderDue (memory, orderFor (19), 18, boot, start));
    CHECK_FALSE (isOrderDue (memory, orderFor (16), 18, boot, start + 20s));
    CHECK (isOrderDue (memory, orderFor (15), 18, boot, start));
    CHECK_FALSE (isOrderDue (memory, orderFor (18), 10, boot, start + 6s));
    CHECK (isOrderDue (memory, orderFor (18), 10, boot, start + 8s));

    // A small order is reduced by one.
    recordOrder (memory, orderFor (2), StoreOutcome::done, start);
    CHECK (isOrderDue (memory, orderFor (1), 2, boot, start));
}

TEST_CASE ("a new holder of the duty doesn't cancel replicas that boot on its predecessor's orders")
{
    // During reclaims at peak load the store rejects the holder of the duties, and another node takes over. It knows of
    // no earlier order. Guards against ordering only what it plans from the replicas that serve: it logged
    // `capacity_ordered failure_domain=hall-c reclaimable=no replicas=0` while 14 were booting, and ordered 21 again
    // 0.6 s later, which served 4 s after that.
    constexpr auto bootTime = Duration (4s);
    const auto takeOver = start + 20s;
    CapacityMemory memory;
    memory.takenOverAt = takeOver;

    CHECK_FALSE (isOrderDue (memory, orderFor (0, false), 0, bootTime, takeOver));
    CHECK_FALSE (isOrderDue (memory, orderFor (28, false), 28, bootTime, takeOver + 5s));
    CHECK (isOrderDue (memory, orderFor (21, false), 0, bootTime, takeOver + 500ms));
    CHECK (isOrderDue (memory, orderFor (0, false), 14, bootTime, takeOver + 6s));

    // Without a predecessor no replicas are booting.
    memory.takenOverAt.reset();
    CHECK (isOrderDue (memory, orderFor (0, false), 14, bootTime, takeOver));
}
