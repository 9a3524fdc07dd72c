#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** The reader to which a node reports, in fleets where nodes report to readers. There is only one at a time, since the
    responses of a second one would cover the same nodes again.
*/
struct ReportRoute
{
    using Endpoint = boost::asio::ip::udp::endpoint;

    std::optional<Endpoint> reader;
    /** When `reader` was chosen; restarted when it times out and there is no other. */
    TimePoint chosenAt = longAgo;
    /** Number of times that a reader timed out since the readers of the failure domain last changed. */
    std::size_t failovers = 0;
    std::vector<Endpoint> ownReaders;
};

/** A reader that hasn't responded for longer than this is replaced by another: either two to four reports were lost or
    the reader is down.
*/
inline constexpr auto readerTimeout = Duration (1s);

/** Keeps the current reader, or chooses another if it timed out or the readers of the failure domain changed. The nodes
    of a failure domain are spread over its readers; if all of these time out, the readers of other failure domains are
    used in turn.

    @param node            this node's name
    @param lastResponseAt  when the reader last responded
    @returns               whether another reader was chosen
*/
auto updateReportRoute (ReportRoute& route,
                        const std::vector<ReportRoute::Endpoint>& ownReaders,
                        const std::vector<ReportRoute::Endpoint>& otherReaders,
                        std::string_view node,
                        TimePoint lastResponseAt,
                        TimePoint now) -> bool;

} // namespace snowrudder
