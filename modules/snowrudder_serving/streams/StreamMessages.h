#pragma once

#include "StreamContinuation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snowrudder
{

/** Tells other nodes the origins of streams. */
struct StreamNotice
{
    std::vector<KnownStream> streams;
};

/** Asks a node for the origin of a stream. */
struct StreamQuery
{
    std::uint32_t number = 0;
    StreamKey key = 0;
};

/** The response to a query. */
struct StreamQueryResponse
{
    /** StreamQuery::number. */
    std::uint32_t number = 0;
    StreamResponse stream;
};

/** Messages on streams. A node sends two notices for each of its streams, so they have a compact form of their own: a byte
    for the kind, a shortened signature, and fields of fixed size.
*/
using StreamMessage = std::variant<StreamNotice, StreamQuery, StreamQueryResponse>;

/** The largest number of streams in one notice, which fits into one datagram of 8 KB. */
inline constexpr auto maxStreamsPerNotice = std::size_t { 500 };

/** @returns whether a datagram is a message on streams. */
auto isStreamMessage (std::string_view datagram) -> bool;

/** @param secret  the secret of the fleet, which keys the signature
    @param now      the time to which the encoded ages are relative
*/
auto encodeStreamMessage (const StreamMessage& message, std::string_view secret, TimePoint now)
    -> std::string;

/** @returns the message of a datagram, or nothing if it is malformed or not signed with the fleet's secret. */
auto decodeStreamMessage (std::string_view datagram, std::string_view secret, TimePoint now)
    -> std::optional<StreamMessage>;

} // namespace snowrudder
