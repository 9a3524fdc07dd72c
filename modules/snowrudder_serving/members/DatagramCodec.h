#pragma once

#include "CrashNotice.h"
#include "StoreUpdates.h"
#include "PeerReport.h"
#include "UsageNotice.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace snowrudder
{

/** The largest datagram that is sent or taken: what one Ethernet frame carries, less the headers of IP and UDP, times a
    few fragments.
*/
inline constexpr auto maxDatagramSize = std::size_t { 8 * 1024 };

/** What nodes tell each other directly. */
using NodeMessage =
    std::variant<PeerReport, StoreUpdateQuery, StoreUpdateResponse, LoadNotice, PromptNotice, UsageNotice, CrashNotice>;

/** @returns a notice of crashes as bytes. Times are told as ages, which count from `now`. */
auto encodeCrashes (const CrashNotice& notice, TimePoint now) -> std::string;

/** @returns the notice of some bytes, or nothing where they are none. */
auto decodeCrashes (std::string_view bytes, TimePoint now) -> std::optional<CrashNotice>;

/** @returns a message as a datagram: a signature over the rest, then the serialized message.

    @param secret  the fleet's own
    @param now     from which ages are told
*/
auto encodeMessage (const NodeMessage& message, std::string_view secret, TimePoint now = SteadyClock::now())
    -> std::string;

/** @returns the message of a datagram, or nothing when it is malformed or not signed with the fleet's secret. */
auto decodeMessage (std::string_view datagram, std::string_view secret, TimePoint now = SteadyClock::now())
    -> std::optional<NodeMessage>;

} // namespace snowrudder
