#pragma once

#include "PeerTable.h"

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** The largest datagram that is sent or taken: what one Ethernet frame carries, less the headers of IP and UDP, times a
    few fragments.
*/
inline constexpr auto largestDatagram = std::size_t { 8 * 1024 };

/** @returns a report as a datagram: a signature over the rest, then the serialized message.

    @param secret  the fleet's own
*/
auto encodeReport (const PeerReport& report, std::string_view secret) -> std::string;

/** @returns the report of a datagram, or nothing when it is malformed or not signed with the fleet's secret. */
auto decodeReport (std::string_view datagram, std::string_view secret) -> std::optional<PeerReport>;

} // namespace snowrudder
