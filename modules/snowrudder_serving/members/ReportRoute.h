#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** The reader to which a node reports, in fleets where nodes report to readers. One at a time: a second one's answers would
    tell of the same nodes again.
*/
struct ReportRoute
{
    using Endpoint = boost::asio::ip::udp::endpoint;

    std::optional<Endpoint> reader;
    /** When it was chosen. */
    TimePoint chosenAt {};
    /** Readers that were given up since the ones of the failure domain last changed. */
    std::size_t failovers = 0;
    std::vector<Endpoint> ownReaders;
};

/** A reader that answered nothing for so long is given up for another: two reports or four were lost, or it is gone. */
inline constexpr auto readerTimeout = Duration (1s);

/** Keeps to the reader chosen, or chooses another: nodes of a failure domain spread over its readers; where all of those are
    silent, readers elsewhere take turns.

    @param node       this node's name
    @param lastResponseAt  when the reader last answered
    @returns          whether another one was chosen
*/
auto updateReportRoute (ReportRoute& route,
                      const std::vector<ReportRoute::Endpoint>& ownReaders,
                      const std::vector<ReportRoute::Endpoint>& otherReaders,
                      std::string_view node,
                      TimePoint lastResponseAt,
                      TimePoint now) -> bool;

} // namespace snowrudder
