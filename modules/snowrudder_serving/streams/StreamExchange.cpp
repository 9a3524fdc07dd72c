#include "StreamExchange.h"

#include "StreamHolders.h"

#include <map>
#include <utility>

namespace snowrudder
{

namespace
{

/** The least time between two log lines about streams that were dropped because of the table's size. */
constexpr auto dropLogInterval = Duration (1s);

} // namespace

StreamExchange::StreamExchange (ServingState& servingState, Membership& fleetMembership, Sender sendFunction)
    : state (servingState), membership (fleetMembership), sendDatagram (std::move (sendFunction))
{
}

auto StreamExchange::announce (KnownStream stream) -> void
{
    const auto now = BootClock::now();
    record (stream, now);

    if (membership.secret().empty())
        return;

    for (const auto& holder : holdersOf (stream.key, membership.streamHolderCandidates(), streamHolders))
        sendTo (holder, StreamNotice { { stream } }, now);
}

auto StreamExchange::ask (StreamKey key, std::string request) -> Task<StreamInquiry>
{
    const auto holders = holdersOf (key, membership.streamHolderCandidates(), askedHolders);

    if (holders.empty() || membership.secret().empty())
        co_return StreamInquiry();

    const auto now = BootClock::now();
    const auto number = ++lastNumber;
    auto& query = openQueries[number];
    query.inquiry.asked = holders.size();
    query.wake = std::make_shared<Signal> (state.loop.get_executor());
    const auto wake = query.wake;

    for (const auto& holder : holders)
        sendTo (holder, StreamQuery { number, key }, now);

    co_await wake->wait (now + streamQueryTime);

    auto inquiry = std::move (openQueries.extract (number).mapped().inquiry);
    LogLine ("stream_asked")
        .with ("request", request)
        .with ("asked", inquiry.asked)
        .with ("responses", inquiry.responses.size())
        .with ("milliseconds", inMilliseconds (BootClock::now() - now))
        .info();
    co_return inquiry;
}

auto StreamExchange::receive (std::string_view datagram, const Endpoint& sender) -> void
{
    const auto now = BootClock::now();
    const auto message = decodeStreamMessage (datagram, membership.secret(), now);

    if (! message)
        state.metrics.counter ("snowrudder_strange_datagrams_total").add();
    else if (const auto* notice = std::get_if<StreamNotice> (&*message))
        handle (*notice, now);
    else if (const auto* query = std::get_if<StreamQuery> (&*message))
        respond (*query, sender, now);
    else
        handle (std::get<StreamQueryResponse> (*message));
}

auto StreamExchange::handOver() -> void
{
    if (membership.secret().empty())
        return;

    const auto now = BootClock::now();
    const auto streams = state.streamOrigins.all (now);
    std::map<Endpoint, StreamNotice> notices;
    auto datagrams = std::size_t { 0 };

    const auto sendNotice = [&] (const Endpoint& target, StreamNotice& notice)
    {
        sendTo (target, std::exchange (notice, {}), now);
        ++datagrams;
    };

    for (const auto& stream : streams)
        for (const auto& holder : holdersOf (stream.key, membership.streamHolderCandidates(), streamHolders))
        {
            auto& notice = notices[holder];
            notice.streams.push_back (stream);

            if (notice.streams.size() == maxStreamsPerNotice)
                sendNotice (holder, notice);
        }

    for (auto& [holder, notice] : notices)
        if (! notice.streams.empty())
            sendNotice (holder, notice);

    LogLine ("streams_handed_over").with ("streams", streams.size()).with ("datagrams", datagrams).info();
}

auto StreamExchange::record (const KnownStream& stream, TimePoint now) -> void
{
    droppedSinceLog += state.streamOrigins.record (stream, now);

    if (droppedSinceLog == 0 || now - dropLoggedAt < dropLogInterval)
        return;

    state.metrics.counter ("snowrudder_stream_origins_dropped_total").add (droppedSinceLog);
    LogLine ("stream_origins_dropped")
        .with ("streams", std::exchange (droppedSinceLog, 0))
        .with ("kept", state.streamOrigins.size())
        .warning();
    dropLoggedAt = now;
}

auto StreamExchange::handle (const StreamNotice& notice, TimePoint now) -> void
{
    for (const auto& stream : notice.streams)
        record (stream, now);
}

auto StreamExchange::respond (const StreamQuery& query, const Endpoint& sender, TimePoint now) -> void
{
    sendTo (sender,
            StreamQueryResponse { query.number,
                                  knownStream (state.streamOrigins, state.versions, query.key, now) },
            now);
}

auto StreamExchange::handle (const StreamQueryResponse& response) -> void
{
    const auto open = openQueries.find (response.number);

    if (open == openQueries.end())
        return;

    auto& [inquiry, wake] = open->second;
    inquiry.responses.push_back (response.stream);

    if (isConclusive (inquiry))
        wake->notify();
}

auto StreamExchange::sendTo (const Endpoint& target, const StreamMessage& message, TimePoint now) -> void
{
    sendDatagram (encodeStreamMessage (message, membership.secret(), now), target);
}

} // namespace snowrudder
