#include "CapacityPlan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace snowrudder
{

namespace
{

/** One in this many of a domain's replicas is never filled with an on-demand one. */
constexpr auto reclaimableRoomDivisor = 5U;

using Plan = std::map<std::string, DomainCapacity>;

auto cheapestFirst (const ScalingBounds& bounds) -> std::vector<std::string>
{
    std::vector<std::string> domains;

    for (const auto& [domain, price] : bounds.domainPrices)
        domains.push_back (domain);

    std::ranges::stable_sort (domains, {},
                              [&] (const std::string& domain) { return bounds.domainPrices.at (domain); });
    return domains;
}

/** @returns the number of reclaimable replicas that leaves `needed` when one of the domains loses all of its own. */
auto replicasWithSpareDomain (double needed, std::size_t domains) -> std::uint32_t
{
    const auto others = static_cast<double> (std::max<std::size_t> (domains, 2) - 1);
    return static_cast<std::uint32_t> (std::ceil (needed * (others + 1.0) / others));
}

/** Distributes replicas one by one to the domain with the fewest, and to the cheapest of equal ones. */
auto spreadReclaimable (Plan& plan,
                        const std::vector<std::string>& domains,
                        std::uint32_t count,
                        const ScalingBounds& bounds) -> void
{
    for (; count > 0; --count)
    {
        const auto fewest = std::ranges::min_element (
            domains, {}, [&] (const std::string& domain) { return plan[domain].reclaimable; });
        auto& chosen = plan[*fewest];

        if (chosen.reclaimable + chosen.onDemand >= bounds.most)
            return;

        ++chosen.reclaimable;
    }
}

auto servingIn (const CapacityInput& input, const std::string& domain) -> DomainCapacity
{
    const auto found = input.serving.find (domain);
    return found == input.serving.end() ? DomainCapacity() : found->second;
}

/** @returns reclaimable replicas that serve, stay in the plan, and are not in a domain at risk. */
auto reliablyServing (Plan& plan, const CapacityInput& input) -> std::uint32_t
{
    std::vector<std::uint32_t> byDomain;

    for (const auto& [domain, capacity] : input.serving)
        byDomain.push_back (std::min (capacity.reclaimable, plan[domain].reclaimable));

    std::ranges::sort (byDomain);
    byDomain.resize (byDomain.size() - std::min (input.domainsAtRisk, byDomain.size()));
    return std::accumulate (byDomain.begin(), byDomain.end(), std::uint32_t { 0 });
}

/** Keeps or adds on-demand replicas for the need that reclaimable ones don't cover. */
auto addOnDemand (Plan& plan, const CapacityInput& input, const std::vector<std::string>& domains) -> void
{
    const auto wanted = static_cast<std::uint32_t> (
        std::ceil (std::max (input.needed * input.onDemandShare, input.neededForSlots)));
    auto covered = reliablyServing (plan, input);

    // Keeps those that serve or boot before it orders others, since a new one takes the boot time.
    for (const auto& domain : domains)
    {
        const auto ordered = input.orderedOnDemand.find (domain);
        const auto existing = std::max (servingIn (input, domain).onDemand,
                                        ordered == input.orderedOnDemand.end() ? 0U : ordered->second);
        const auto kept = std::min (existing, wanted - std::min (wanted, covered));
        plan[domain].onDemand += kept;
        covered += kept;
    }

    // Leaves some capacity free so that reclaimable ones can come back.
    const auto mostOnDemand = input.bounds.most - input.bounds.most / reclaimableRoomDivisor;

    for (const auto& domain : domains)
    {
        // Only serving reclaimable replicas count here: ordered ones that don't serve must not keep out their
        // substitutes.
        const auto reclaimable = servingIn (input, domain).reclaimable;

        for (; covered < wanted && plan[domain].onDemand + reclaimable < mostOnDemand; ++covered)
            ++plan[domain].onDemand;
    }
}

} // namespace

auto planCapacity (const CapacityInput& input) -> std::map<std::string, DomainCapacity>
{
    Plan plan;
    const auto domains = cheapestFirst (input.bounds);

    if (domains.empty())
        return plan;

    if (input.bounds.reclaimablePrice <= 0.0)
    {
        const auto total = std::max<std::uint32_t> (1, static_cast<std::uint32_t> (std::ceil (input.needed)));

        for (auto index = std::uint32_t { 0 }; index < total; ++index)
            ++plan[domains[index % domains.size()]].onDemand;

        return plan;
    }

    const auto total = std::max<std::uint32_t> (replicasWithSpareDomain (input.needed, domains.size()),
                                                static_cast<std::uint32_t> (domains.size()));
    spreadReclaimable (plan, domains, total, input.bounds);

    for (const auto& domain : input.withoutReclaimable)
        plan[domain].reclaimable = std::min (plan[domain].reclaimable, servingIn (input, domain).reclaimable);

    addOnDemand (plan, input, domains);
    return plan;
}

} // namespace snowrudder
