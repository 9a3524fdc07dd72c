#include "InternalHandler.h"

#include "../model/RequestHandover.h"
#include "../once/SlotHandover.h"
#include "CrashExchange.h"
#include "PeerCalls.h"
#include "TreeExchange.h"

namespace snowrudder
{

namespace
{

/** @returns the response to a request that exchanges or reads state; nothing if the path is not one of these. */
auto replyToNode (RouterState& state, const Exchange& exchange) -> std::optional<std::string>
{
    if (exchange.path() == treeTarget)
        return exchangeTree (state, exchange.request().body());

    if (exchange.path() == crashesTarget)
        return exchangeCrashes (state, exchange.request().body());

    return exchange.path() == statusTarget ? std::optional (routerStatus (state)) : std::nullopt;
}

/** Accepts slots or a request that another router hands over.

    @returns the problem with the message, or nothing if it was accepted
*/
auto acceptMessage (RouterState& state, Worker& worker, const Exchange& exchange) -> std::optional<Problem>
{
    if (state.leaving)
        return makeProblem (ErrorKind::nodeLeaving);

    const auto& body = exchange.request().body();
    auto isAccepted = false;

    if (exchange.path() == "/internal/slots")
        isAccepted = acceptHandedSlots (state, body);
    else if (exchange.path() == "/internal/request")
        isAccepted = acceptHandedRequest (state, worker, body);
    else
        return makeProblem (ErrorKind::notFound);

    return isAccepted ? std::nullopt
                      : std::optional (makeProblem (ErrorKind::invalidRequest, "not understood"));
}

} // namespace

auto handleInternal (RouterState& state, Worker& worker, Exchange& exchange) -> Task<void>
{
    if (! signingPeer (state, exchange.request()))
    {
        co_await respondProblem (
            state, exchange, makeProblem (ErrorKind::unauthorized, "not signed by a node of this fleet"), "");
        co_return;
    }

    // A leaving router answers these too, as its state may be the most recent.
    if (const auto reply = replyToNode (state, exchange))
    {
        co_await exchange.respond (http::status::ok, "application/x-protobuf", *reply);
        co_return;
    }

    const auto problem = acceptMessage (state, worker, exchange);

    if (problem)
        co_await respondProblem (state, exchange, *problem, "");
    else
        co_await exchange.respond (http::status::ok, "text/plain", "taken\n");
}

} // namespace snowrudder
