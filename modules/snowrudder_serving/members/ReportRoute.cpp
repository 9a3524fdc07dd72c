#include "ReportRoute.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** @returns the reader to use after the failovers so far, or nothing if there are no readers. */
auto readerForTurn (const ReportRoute& route,
                    const std::vector<ReportRoute::Endpoint>& otherReaders,
                    std::string_view node) -> std::optional<ReportRoute::Endpoint>
{
    const auto own = route.ownReaders.size();
    const auto turn = route.failovers % std::max<std::size_t> (own + otherReaders.size(), 1);

    if (turn < own)
        return route.ownReaders[(hashBytes (node) + turn) % own];

    if (otherReaders.empty())
        return {};

    return otherReaders[(hashBytes (node) + turn) % otherReaders.size()];
}

} // namespace

auto updateReportRoute (ReportRoute& route,
                        const std::vector<ReportRoute::Endpoint>& ownReaders,
                        const std::vector<ReportRoute::Endpoint>& otherReaders,
                        std::string_view node,
                        TimePoint lastResponseAt,
                        TimePoint now) -> bool
{
    if (route.ownReaders != ownReaders)
    {
        route.ownReaders = ownReaders;
        route.failovers = 0;
    }
    else if (route.reader && now - std::max (lastResponseAt, route.chosenAt) > readerTimeout)
        ++route.failovers;

    const auto chosen = readerForTurn (route, otherReaders, node);

    if (chosen == route.reader)
    {
        // If there is no other reader, the silent one is kept and its timeout restarts.
        if (now - std::max (lastResponseAt, route.chosenAt) > readerTimeout)
            route.chosenAt = now;

        return false;
    }

    route.reader = chosen;
    route.chosenAt = now;
    return true;
}

} // namespace snowrudder
