#pragma once

#include "BodyFraming.h"

#include "../stream/EventBoundaries.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace snowrudder
{

/** What is known of a response's body when no more bytes of it will come. */
struct BodyEnd
{
    /** The number of last bytes that shows whether a stream of events ends between two of them. */
    static constexpr auto tailBytes = std::size_t { 4 };

    BodyFraming framing = BodyFraming::length;
    bool isEventStream = false;
    /** Whether the connection's end is the upstream's own: a relay that ends closes its connections too. */
    bool isEndOfUpstream = true;
    /** The last bytes received of a stream of events, `tailBytes` at most. */
    std::string tail {};
};

/** Adds received bytes of a stream of events. */
inline auto addToTail (BodyEnd& end, std::string_view bytes) -> void
{
    const auto added = bytes.substr (bytes.size() - std::min (bytes.size(), BodyEnd::tailBytes));
    end.tail += added;
    end.tail.erase (0, end.tail.size() - std::min (end.tail.size(), BodyEnd::tailBytes));
}

/** @returns whether a body that ended by its framing is whole. One that ends with its connection is not known to be if others
    than the upstream may have ended that. A stream of events that ends inside one has been broken
    off; so has one without any event whose end only the connection's end shows, since an upstream that fails before its
    first event leaves the same bytes.
*/
inline auto isWhole (const BodyEnd& end) -> bool
{
    if (end.framing == BodyFraming::endOfConnection && ! end.isEndOfUpstream)
        return false;

    if (! end.isEventStream)
        return true;

    if (end.tail.empty())
        return end.framing != BodyFraming::endOfConnection;

    return endOfCompleteEvents (end.tail) == end.tail.size();
}

} // namespace snowrudder
