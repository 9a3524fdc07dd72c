#include "RecordRelay.h"

namespace snowrudder
{

namespace
{

/** Interval of comment lines on an idle stream. They prevent the platform's load balancer from closing it. */
constexpr auto keepAliveInterval = 15s;

/** Registers a reader of a record for its own lifetime. */
class ReaderRegistration
{
public:
    ReaderRegistration (RequestRecord& requestRecord, const std::shared_ptr<Signal>& readerSignal)
        : record (requestRecord), signal (readerSignal)
    {
        record.addReader (signal);
    }

    ~ReaderRegistration() { record.removeReader (signal, BootClock::now()); }

    ReaderRegistration (const ReaderRegistration&) = delete;
    auto operator= (const ReaderRegistration&) -> ReaderRegistration& = delete;

private:
    RequestRecord& record;
    std::shared_ptr<Signal> signal;
};

auto beginEventStream (Exchange& exchange, const std::string& id) -> Task<std::error_code>
{
    http::response<http::empty_body> header (http::status::ok, 11);
    header.set (http::field::content_type, "text/event-stream");
    header.set (http::field::cache_control, "no-cache");
    header.set ("Snowrudder-Request-Id", id);
    return exchange.beginStream (std::move (header));
}

auto relayStream (RouterState& state,
                  Exchange& exchange,
                  RequestRecord& record,
                  Signal& signal,
                  std::size_t after) -> Task<void>
{
    const auto id = toString (record.identity().id);
    std::string events;

    for (;;)
    {
        events.clear();
        const auto part = record.readStream (after, events);
        after = part.lastEvent;

        // Nothing has been sent yet, so that the failure can be reported by its HTTP status.
        if (part.state == RecordState::failed && ! exchange.hasBegun() && after == 0)
        {
            exchange.stopWatching();
            co_await respondProblem (state, exchange, record.problem(), id);
            co_return;
        }

        // Closes the connection without ending the stream: the caller resumes by the request identifier, at any router.
        if (events.empty() && part.state == RecordState::handedOver)
            co_return;

        if (events.empty())
        {
            const auto wasNotified = co_await signal.wait (BootClock::now() + keepAliveInterval);

            if (exchange.hasCallerDisconnected())
                co_return;

            if (wasNotified)
                continue;

            events = ": waiting\n\n";
        }

        if (! exchange.hasBegun() && co_await beginEventStream (exchange, id))
            co_return;

        if (co_await exchange.writeBodyPart (events))
            co_return;

        record.updateReadPosition (after);

        if (part.ended)
            break;
    }

    if (record.state() == RecordState::failed)
        state.counts.countError (record.problem().kind);

    exchange.stopWatching();
    co_await exchange.endStream();
}

auto relayWhole (RouterState& state, Exchange& exchange, RequestRecord& record, Signal& signal) -> Task<void>
{
    while (record.state() == RecordState::open)
    {
        co_await signal.wait (BootClock::now() + keepAliveInterval);

        if (exchange.hasCallerDisconnected())
            co_return;
    }

    exchange.stopWatching();
    const auto id = toString (record.identity().id);

    if (record.state() == RecordState::handedOver)
    {
        co_await respondProblem (state, exchange, makeProblem (ErrorKind::requestMoved), id);
        co_return;
    }

    if (record.state() == RecordState::failed)
    {
        co_await respondProblem (state, exchange, record.problem(), id);
        co_return;
    }

    const auto kept = record.keptAnswer();
    HttpResponse response (kept ? static_cast<http::status> (kept->status) : http::status::ok, 11);
    response.set (http::field::content_type, kept ? kept->contentType : "application/json");
    response.set ("Snowrudder-Request-Id", id);
    response.body() = kept ? kept->body : record.wholeAnswer();

    const auto error = co_await exchange.respond (std::move (response));

    if (! error)
        record.markReadToEnd();
}

} // namespace

auto relayRecord (RouterState& state,
                  Exchange& exchange,
                  std::shared_ptr<RequestRecord> record,
                  std::size_t after) -> Task<void>
{
    const auto signal = std::make_shared<Signal> (exchange.executor());
    const ReaderRegistration registration (*record, signal);
    exchange.watchCaller ([signal] { signal->notify(); });

    if (record->identity().stream)
        co_await relayStream (state, exchange, *record, *signal, after);
    else
        co_await relayWhole (state, exchange, *record, *signal);
}

} // namespace snowrudder
