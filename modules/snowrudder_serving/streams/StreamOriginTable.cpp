#include "StreamOriginTable.h"

namespace snowrudder
{

auto StreamOriginTable::record (const KnownStream& stream, TimePoint now) -> std::size_t
{
    while (! order.empty() && order.front().first <= now)
        removeOldest();

    if (stream.begun + streamMemory <= now)
        return 0;

    const auto [found, isNew] = streams.try_emplace (stream.key, stream);

    if (! isNew)
    {
        auto& known = found->second;
        known.isConflicting = known.isConflicting || stream.isConflicting || known.origin != stream.origin;
        return 0;
    }

    order.emplace_back (now + streamMemory, stream.key);

    if (streams.size() <= maxStreams)
        return 0;

    removeOldest();
    return 1;
}

auto StreamOriginTable::find (StreamKey key, TimePoint now) const -> std::optional<KnownStream>
{
    const auto found = streams.find (key);

    if (found == streams.end() || found->second.begun + streamMemory <= now)
        return {};

    return found->second;
}

auto StreamOriginTable::all (TimePoint now) const -> std::vector<KnownStream>
{
    std::vector<KnownStream> kept;

    for (const auto& [key, stream] : streams)
        if (stream.begun + streamMemory > now)
            kept.push_back (stream);

    return kept;
}

auto StreamOriginTable::removeOldest() -> void
{
    streams.erase (order.front().second);
    order.pop_front();
}

} // namespace snowrudder
