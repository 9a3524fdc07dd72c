#pragma once

#include "StreamOrigin.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snowrudder
{

/** What a node knows of a stream. */
struct KnownStream
{
    StreamKey key = 0;
    StreamOrigin origin;
    TimePoint begun {};
    /** Whether two origins were recorded for it, so that neither is to be relied on. */
    bool isConflicting = false;
};

/** The origins of the streams that began at this node, and of those that other nodes told it. Entries expire after
    `streamMemory`; at most `maxStreams` are kept.
*/
class StreamOriginTable
{
public:
    /** Twice what a node holds at 50 new streams a second at every node. */
    static constexpr auto maxStreams = std::size_t { 40'000 };

    /** Records a stream; if it is known with another origin, it is conflicting from then on.

        @returns the number of streams that were dropped before they expired, because of the table's size
    */
    auto record (const KnownStream& stream, TimePoint now) -> std::size_t;

    /** @returns what is known of a stream, or nothing. */
    [[nodiscard]] auto find (StreamKey key, TimePoint now) const -> std::optional<KnownStream>;

    /** @returns all streams that have not expired. */
    [[nodiscard]] auto all (TimePoint now) const -> std::vector<KnownStream>;

    [[nodiscard]] auto size() const -> std::size_t { return streams.size(); }

private:
    auto removeOldest() -> void;

    std::unordered_map<StreamKey, KnownStream> streams;
    /** Keys in the order in which they were recorded, each with its time of expiry at the latest. */
    std::deque<std::pair<TimePoint, StreamKey>> order;
};

} // namespace snowrudder
