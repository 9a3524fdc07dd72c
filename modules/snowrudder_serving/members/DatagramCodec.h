#pragma once

#include "../configuration/ConfigurationTransfer.h"
#include "CrashNotice.h"
#include "LeavingNotice.h"
#include "PeerReport.h"
#include "RestNotice.h"
#include "StoreUpdates.h"
#include "UsageNotice.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snowrudder
{

/** The largest datagram, in bytes, that is sent or accepted: a few IP fragments, each of which fits into one Ethernet
    frame beside the IP and UDP headers. See encodeDatagrams() for messages that don't fit.
*/
inline constexpr auto maxDatagramSize = std::size_t { 8 * 1024 };

/** The messages that nodes exchange by datagram. */
using NodeMessage = std::variant<PeerReport,
                                 StoreUpdateQuery,
                                 StoreUpdateResponse,
                                 LoadNotice,
                                 PromptNotice,
                                 UsageNotice,
                                 CrashNotice,
                                 LeavingNotice,
                                 RestNotice,
                                 ConfigurationQuery,
                                 ConfigurationPart>;

/** @returns a serialized crash notice. Times are encoded as ages relative to `now`. */
auto encodeCrashes (const CrashNotice& notice, TimePoint now) -> std::string;

/** @returns the crash notice in `bytes`, or nothing if they can't be parsed. Ages are converted to times relative to
    `now`.
*/
auto decodeCrashes (std::string_view bytes, TimePoint now) -> std::optional<CrashNotice>;

/** @returns a message as a datagram: a signature over the rest, then the serialized message.

    @param secret  the secret that all nodes of the fleet share; it keys the signature
    @param now     the time to which the encoded ages are relative
*/
auto encodeMessage (const NodeMessage& message, std::string_view secret, TimePoint now = BootClock::now())
    -> std::string;

/** @returns a message as one datagram, or as several where it exceeds `maxDatagramSize`: a report in parts of its
    accounts, the other notices in halves of what they list. Their receivers merge them in any order. A message that
    can't be divided any further is left out and logged.
*/
auto encodeDatagrams (const NodeMessage& message, std::string_view secret, TimePoint now = BootClock::now())
    -> std::vector<std::string>;

/** @returns the message of a datagram, or nothing if it is malformed, too large or not signed with the fleet's secret.
*/
auto decodeMessage (std::string_view datagram, std::string_view secret, TimePoint now = BootClock::now())
    -> std::optional<NodeMessage>;

} // namespace snowrudder
