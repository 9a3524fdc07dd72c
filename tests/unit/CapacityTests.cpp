#include "ServingFixtures.h"

#include "snowrudder_serving/capacity/CapacityHistory.h"
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

/** @param each  serves in each of the four failure domains */
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

TEST_CASE ("reclaimable replicas cover what is needed though one failure domain loses its own")
{
    const auto input = inputFor (6.0, { 0, 2 });
    const auto plan = planCapacity (input);
    CHECK (totalOf (plan).onDemand == 0);
    CHECK (totalOf (plan).reclaimable == 8);

    for (const auto& [domain, capacity] : plan)
        CHECK (capacity.reclaimable == 2);
}

TEST_CASE ("on-demand replicas go only as reclaimable ones come up, the dearest first")
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

TEST_CASE ("while reclaims go on, on-demand replicas make up for the failure domains that may go next")
{
    auto input = inputFor (40.0, { 0, 14 });
    input.bounds.most = 46;
    input.onDemandShare = 0.6;
    CHECK (totalOf (planCapacity (input)).onDemand == 0);

    // Two domains may lose 28 of the 41 that are planned and left; 24 are wanted.
    input.serving["a"].reclaimable = 0;
    input.withoutReclaimable = { "a" };
    input.domainsAtRisk = 2;
    CHECK (totalOf (planCapacity (input)).onDemand == 11);

    // With one domain left nothing can be counted on.
    input.serving["b"].reclaimable = 0;
    input.serving["c"].reclaimable = 0;
    input.withoutReclaimable = { "a", "b", "c" };
    CHECK (totalOf (planCapacity (input)).onDemand == 24);
}

TEST_CASE ("on-demand replicas that boot stay where they were ordered, while a domain is tried again for "
           "reclaimable ones")
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

TEST_CASE ("on-demand replicas are paid for what runs, also where the headroom's part would be less")
{
    auto input = inputFor (10.0);
    input.onDemandShare = 0.5;
    input.withoutReclaimable = { "a", "b", "c", "d" };
    CHECK (totalOf (planCapacity (input)).onDemand == 5);
    input.neededForSlots = 7.2;
    CHECK (totalOf (planCapacity (input)).onDemand == 8);
}

TEST_CASE ("on-demand replicas leave room in each domain for reclaimable ones to come back")
{
    auto input = inputFor (60.0);
    input.bounds.most = 10;
    input.withoutReclaimable = { "a", "b", "c", "d" };

    for (const auto& [domain, capacity] : planCapacity (input))
        CHECK (capacity.onDemand == 8);
}

TEST_CASE ("orders for reclaimable replicas that are not to be had leave room for on-demand ones")
{
    auto input = inputFor (16.0);
    input.withoutReclaimable = { "a", "b", "c", "d" };
    input.serving["a"] = { 0, 1 };

    const auto plan = planCapacity (input);
    CHECK (totalOf (plan).reclaimable == 1);
    CHECK (totalOf (plan).onDemand == 15);
}

TEST_CASE ("what is needed rises at once and falls slowly")
{
    std::map<std::string, double> needed;
    CHECK (updateNeeded (needed, "model", 10.0, 500ms) == Approx (10.0));
    CHECK (updateNeeded (needed, "model", 20.0, 500ms) == Approx (20.0));
    const auto fallen = updateNeeded (needed, "model", 5.0, 500ms);
    CHECK (fallen < 20.0);
    CHECK (fallen > 19.0);
}

TEST_CASE ("a failure domain that loses most of its reclaimable replicas against its order was reclaimed")
{
    CapacityHistory history;
    recordOrder (history, orderFor (20), StoreOutcome::done, start);
    CHECK_FALSE (recordServing (history, "model", "a", 0, start));
    CHECK_FALSE (recordServing (history, "model", "a", 20, start + 5s));
    CHECK_FALSE (recordServing (history, "model", "a", 15, start + 6s));
    CHECK_FALSE (isReclaimWave (history, "model", start + 6s));
    CHECK (recordServing (history, "model", "a", 3, start + 7s));
    CHECK (unavailableDomains (history, "model", start + 7s).contains ("a"));
    CHECK (isReclaimWave (history, "model", start + 7s));
    CHECK_FALSE (isReclaimWave (history, "other", start + 7s));
    CHECK_FALSE (isReclaimWave (history, "model", start + 20s));
}

TEST_CASE ("replicas that were given up are not taken for reclaimed")
{
    CapacityHistory history;
    recordOrder (history, orderFor (20), StoreOutcome::done, start);
    recordServing (history, "model", "a", 20, start);
    recordOrder (history, orderFor (2), StoreOutcome::done, start + 1s);
    CHECK_FALSE (recordServing (history, "model", "a", 2, start + 2s));
    CHECK_FALSE (isReclaimWave (history, "model", start + 2s));
}

TEST_CASE ("a refused order is a sign of a wave, stands as it was, and is not tried again at once")
{
    CapacityHistory history;
    recordOrder (history, orderFor (20), StoreOutcome::done, start);
    recordOrder (history, orderFor (25), StoreOutcome::refused, start + 1s);
    CHECK (isReclaimWave (history, "model", start + 1s));
    CHECK (unavailableDomains (history, "model", start + 1s).contains ("a"));
    CHECK (unavailableDomains (history, "model", start + 10s).empty());
    CHECK (orderedReplicas (history, "model", "a", true) == 20);
    CHECK (orderedReplicas (history, "model", "a", false) == 0);

    // On-demand ones are to be had as a rule; a refusal of theirs tells nothing of the others.
    CapacityHistory other;
    recordOrder (other, orderFor (5, false), StoreOutcome::refused, start);
    CHECK_FALSE (isReclaimWave (other, "model", start));
}

TEST_CASE ("an order is given for more at once, for fewer in steps, and again when what serves still differs")
{
    CapacityHistory history;
    constexpr auto boot = Duration (4s);
    CHECK (isOrderDue (history, orderFor (18), 18, boot, start));
    recordOrder (history, orderFor (18), StoreOutcome::done, start);
    CHECK_FALSE (isOrderDue (history, orderFor (18), 18, boot, start + 20s));
    CHECK (isOrderDue (history, orderFor (19), 18, boot, start));
    CHECK_FALSE (isOrderDue (history, orderFor (16), 18, boot, start + 20s));
    CHECK (isOrderDue (history, orderFor (15), 18, boot, start));
    CHECK_FALSE (isOrderDue (history, orderFor (18), 10, boot, start + 6s));
    CHECK (isOrderDue (history, orderFor (18), 10, boot, start + 8s));

    // A small order falls by one.
    recordOrder (history, orderFor (2), StoreOutcome::done, start);
    CHECK (isOrderDue (history, orderFor (1), 2, boot, start));
}

TEST_CASE ("who takes the duty over takes back no replicas that boot on the orders before")
{
    // Reclaims go on at the peak of the load, and the store turns the holder of the duties away: another node follows. It knew of
    // no order and ordered what its plan made of those that served: `capacity_ordered failure_domain=hall-c reclaimable=no
    // replicas=0`, where 14 booted, and 21 again 0.6 s later, which served 4 s after that.
    constexpr auto bootTime = Duration (4s);
    const auto taken = start + 20s;
    CapacityHistory history;
    history.takenOverAt = taken;

    CHECK_FALSE (isOrderDue (history, orderFor (0, false), 0, bootTime, taken));
    CHECK_FALSE (isOrderDue (history, orderFor (28, false), 28, bootTime, taken + 5s));
    CHECK (isOrderDue (history, orderFor (21, false), 0, bootTime, taken + 500ms));
    CHECK (isOrderDue (history, orderFor (0, false), 14, bootTime, taken + 6s));

    // Nothing boots on orders that nobody gave.
    history.takenOverAt.reset();
    CHECK (isOrderDue (history, orderFor (0, false), 14, bootTime, taken));
}
