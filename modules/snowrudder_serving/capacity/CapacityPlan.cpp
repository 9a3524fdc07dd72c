#include "CapacityPlan.h"

#include <algorithm>
#include <cmath>

namespace snowrudder
{

namespace
{

using Plan = std::map<std::string, DomainCapacity>;

auto cheapestFirst (const ScalingBounds& bounds) -> std::vector<std::string>
{
    std::vector<std::string> domains;

    for (const auto& [domain, price] : bounds.domainPrices)
        domains.push_back (domain);

    std::ranges::stable_sort (domains, {}, [&] (const std::string& domain) { return bounds.domainPrices.at (domain); });
    return domains;
}

/** @returns how many replicas of all kinds leave `needed` when the domain with the most of them loses its own. */
auto spreadTotal (double needed, std::size_t domains) -> std::uint32_t
{
    const auto whole = static_cast<std::uint32_t> (std::ceil (needed));
    const auto others = static_cast<std::uint32_t> (std::max<std::size_t> (domains, 2) - 1);
    return whole + (whole + others - 1) / others;
}

/** Gives replicas out one by one, to the domain with the fewest, the cheapest first among equals. */
auto spread (Plan& plan, const std::vector<std::string>& domains, std::uint32_t count, const ScalingBounds& bounds)
    -> void
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


/** Adds on-demand replicas where too little serves: in the cheapest domains first. */
auto fillGap (Plan& plan, const CapacityInput& input, const std::vector<std::string>& domains) -> void
{
    // What is ordered and not up yet may be dry; until it serves, on-demand replicas stand in for it.
    const auto wanted = static_cast<std::uint32_t> (std::ceil (input.needed));
    auto kept = std::uint32_t { 0 };

    for (const auto& [domain, capacity] : input.serving)
        kept += std::min (capacity.reclaimable, plan[domain].reclaimable);

    for (const auto& domain : domains)
        kept += plan[domain].onDemand;

    for (const auto& domain : domains)
    {
        auto& chosen = plan[domain];

        while (kept < wanted && chosen.onDemand + chosen.reclaimable < input.bounds.most)
        {
            ++chosen.onDemand;
            ++kept;
        }
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

    plan[domains.front()].onDemand = 1;
    const auto total = std::max<std::uint32_t> (spreadTotal (input.needed, domains.size()),
                                                static_cast<std::uint32_t> (domains.size()));
    spread (plan, domains, total, input.bounds);
    fillGap (plan, input, domains);
    return plan;
}

} // namespace snowrudder
