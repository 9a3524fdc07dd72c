#include "RoutingConfiguration.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace snowrudder
{

auto addRoute (RoutingConfiguration& configuration, Route route) -> void
{
    auto& hostRoutes = configuration.routes[route.host];
    const auto place = std::ranges::find_if (hostRoutes, [&] (const Route& other)
                                             { return other.pathPrefix.size() < route.pathPrefix.size(); });
    hostRoutes.insert (place, std::move (route));
}

auto findRoute (const RoutingConfiguration& configuration, std::string_view host, std::string_view path)
    -> const Route*
{
    const auto name = host.substr (0, host.find (':'));
    const auto found = configuration.routes.find (std::string (name));

    if (found == configuration.routes.end())
        return nullptr;

    const auto route = std::ranges::find_if (found->second, [path] (const Route& candidate)
                                             { return path.starts_with (candidate.pathPrefix); });
    return route == found->second.end() ? nullptr : &*route;
}

auto findAccount (const RoutingConfiguration& configuration, std::string_view key)
    -> std::shared_ptr<const RoutedAccount>
{
    const auto found = configuration.accountsByKey.find (std::string (key));
    return found == configuration.accountsByKey.end() ? nullptr : found->second;
}

auto maxIdleConnections (const RoutingConfiguration& configuration, std::size_t nodes) -> std::size_t
{
    constexpr auto idleDivisor = std::size_t { 2 };
    auto most = std::numeric_limits<std::size_t>::max();

    for (const auto& [name, service] : configuration.services)
        if (service.maxConnections > 0)
            most = std::min (most, service.maxConnections / idleDivisor / std::max<std::size_t> (nodes, 1));

    return std::max<std::size_t> (most, 1);
}

auto pickService (const Route& route, double draw) -> const std::string&
{
    requireInvariant (! route.services.empty(), "a route has at least one service");

    const auto totalWeight =
        std::accumulate (route.services.begin(), route.services.end(), 0.0,
                         [] (double sum, const WeightedService& service) { return sum + service.weight; });
    auto remaining = draw * totalWeight;

    for (const auto& service : route.services)
    {
        remaining -= service.weight;

        if (remaining < 0.0)
            return service.name;
    }

    return route.services.back().name;
}

} // namespace snowrudder
