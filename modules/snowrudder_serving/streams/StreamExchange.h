#pragma once

#include "../members/Membership.h"
#include "StreamMessages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace snowrudder
{

/** Tells other nodes where streams began, and asks them where a stream that a caller takes up began. Belongs to one event
    loop.
*/
class StreamExchange
{
public:
    using Endpoint = Membership::Endpoint;
    using Sender = std::function<void (const std::string& datagram, const Endpoint& target)>;

    StreamExchange (ServingState& servingState, Membership& fleetMembership, Sender sendFunction);

    /** Records a stream's origin here and at the nodes that hold it. */
    auto announce (KnownStream stream) -> void;

    /** Asks the nodes that hold a stream, once, and waits for their responses or until `streamQueryTime` is over.

        @param request  the request that takes the stream up, for the log
    */
    auto ask (StreamKey key, std::string request) -> Task<StreamInquiry>;

    /** Handles a datagram for which isStreamMessage() is true. */
    auto receive (std::string_view datagram, const Endpoint& sender) -> void;

    /** Sends everything that this node, which is shutting down, holds to the nodes that hold it from then on. */
    auto handOver() -> void;

private:
    struct OpenQuery
    {
        StreamInquiry inquiry;
        std::shared_ptr<Signal> wake;
    };

    auto record (const KnownStream& stream, TimePoint now) -> void;
    auto handle (const StreamNotice& notice, TimePoint now) -> void;
    auto respond (const StreamQuery& query, const Endpoint& sender, TimePoint now) -> void;
    auto handle (const StreamQueryResponse& response) -> void;
    auto sendTo (const Endpoint& target, const StreamMessage& message, TimePoint now) -> void;

    ServingState& state;
    Membership& membership;
    Sender sendDatagram;
    std::uint32_t lastNumber = static_cast<std::uint32_t> (randomNumber());
    std::map<std::uint32_t, OpenQuery> openQueries;
    TimePoint dropLoggedAt = longAgo;
    std::size_t droppedSinceLog = 0;
};

/** How long a request that takes up a stream waits for the responses of other nodes. */
inline constexpr auto streamQueryTime = Duration (150ms);

} // namespace snowrudder
