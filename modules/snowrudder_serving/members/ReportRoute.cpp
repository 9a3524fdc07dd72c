#include "ReportRoute.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** @returns the reader whose turn it is, or nothing where there are none. */
auto readerInTurn (const ReportRoute& route,
                   const std::vector<ReportRoute::Endpoint>& otherReaders,
                   std::string_view node) -> std::optional<ReportRoute::Endpoint>
{
    const auto own = route.ownReaders.size();
    const auto turn = route.turn % std::max<std::size_t> (own + otherReaders.size(), 1);

    if (turn < own)
        return route.ownReaders[(hashBytes (node) + turn) % own];

    if (otherReaders.empty())
        return {};

    return otherReaders[(hashBytes (node) + turn) % otherReaders.size()];
}

} // namespace

auto keepReportRoute (ReportRoute& route,
                      const std::vector<ReportRoute::Endpoint>& ownReaders,
                      const std::vector<ReportRoute::Endpoint>& otherReaders,
                      std::string_view node,
                      TimePoint lastHeard,
                      TimePoint now) -> bool
{
    if (route.ownReaders != ownReaders)
    {
        route.ownReaders = ownReaders;
        route.turn = 0;
    }
    else if (route.reader && now - std::max (lastHeard, route.since) > readerSilence)
        ++route.turn;

    const auto chosen = readerInTurn (route, otherReaders, node);

    if (chosen == route.reader)
    {
        // A single reader that is silent is asked on; its silence counts anew.
        if (now - std::max (lastHeard, route.since) > readerSilence)
            route.since = now;

        return false;
    }

    route.reader = chosen;
    route.since = now;
    return true;
}

} // namespace snowrudder
