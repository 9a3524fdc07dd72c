#include "ResumeHandler.h"

#include "../model/RecordRelay.h"
#include "../peers/PeerCalls.h"

#include <charconv>

namespace snowrudder
{

namespace
{

auto readLastEvent (const Exchange& exchange) -> std::optional<std::size_t>
{
    const auto text = exchange.header ("Last-Event-ID");
    auto number = std::size_t { 0 };

    if (text.empty())
        return number;

    const auto parsed = std::from_chars (text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? std::optional (number)
                                                                               : std::nullopt;
}

/** Forwards the request to a peer and relays its answer.

    @returns false if the peer can't be reached or has no record of the request; nothing has been sent to the caller then
*/
auto relayFromPeer (RouterState& state, Worker& worker, Exchange& exchange, const schema::Peer& peer)
    -> Task<bool>
{
    UpstreamCall call (worker.pool, parseEndpoint (peer.endpoint()), state.timeouts.call);
    HttpRequest request (http::verb::get, exchange.request().target(), 11);
    copyEndToEndHeaders (exchange.request(), request, [] (std::string_view) { return false; });
    signRequest (state, request);

    const auto mayReuse = true;

    if (co_await call.connect (mayReuse) || co_await call.send (request) || co_await call.readHeader())
        co_return false;

    if (call.status() == static_cast<unsigned> (http::status::not_found))
        co_return false;

    const std::string keepOwnId;
    co_await relayAnswer (exchange, call, {}, keepOwnId);
    co_return true;
}

/** Queries the router that accepted the request, then its successors. */
auto relayFromPeers (RouterState& state, Worker& worker, Exchange& exchange, const RequestId& id)
    -> Task<bool>
{
    const auto* first = findPeer (state, id.node);

    if (first != nullptr && co_await relayFromPeer (state, worker, exchange, *first))
        co_return true;

    for (const auto* successor : successorsOf (state, id))
        if (co_await relayFromPeer (state, worker, exchange, *successor))
            co_return true;

    co_return false;
}

} // namespace

auto handleResume (RouterState& state,
                   Worker& worker,
                   Exchange& exchange,
                   CallerScope scope,
                   std::string idText) -> Task<void>
{
    const auto after = readLastEvent (exchange);

    if (! after)
    {
        co_await respondProblem (
            state, exchange, makeProblem (ErrorKind::invalidRequest, "Last-Event-ID must be a whole number"),
            idText);
        co_return;
    }

    state.counts.resumed.add();

    if (const auto record = state.requests.find (idText, scope.account->name))
    {
        co_await relayRecord (state, exchange, record, *after);
        co_return;
    }

    // A request that was forwarded by a router is not forwarded again.
    const auto id = parseRequestId (idText);
    const auto isFromPeer = signingPeer (state, exchange.request()).has_value();

    if (id && ! isFromPeer && co_await relayFromPeers (state, worker, exchange, *id))
        co_return;

    if (! exchange.hasBegun())
        co_await respondProblem (state, exchange, makeProblem (ErrorKind::unknownRequest), idText);
}

} // namespace snowrudder
