#pragma once

#include "../duties/DutyLoops.h"
#include "../members/PeerExchange.h"
#include "../store/StoreFollowers.h"
#include "ServingState.h"

#include <memory>

namespace snowrudder
{

/** What a face brings to a node: how it reads callers, and how it speaks to its upstreams and to the platform. */
struct ServingFace
{
    UpstreamProtocol upstreams;
    /** Decodes a caller's request; the message is moved out of the exchange. */
    std::function<std::variant<CallerRequest, Problem> (HttpRequest&)> readRequest;
    /** Answers what never became a request. */
    RejectionHandler rejection;
    /** Where the balancer asks whether the node is ready. */
    std::string readinessPath;
    StoreFormats formats;
    StateStore store;
    DutyCalls duties;
};

/** One node that routes by host and path: its listeners, its followers of the store, its part in what nodes do together,
    and a planned stop. One event loop, one thread.
*/
class ServingNode
{
public:
    /** @param makeFace  called with the event loop's connection pool */
    ServingNode (asio::io_context& eventLoop,
                 const ServingSettings& settings,
                 const std::function<ServingFace (ConnectionPool&)>& makeFace);

    /** Serves until a planned stop has ended.

        @param onReload  called at SIGHUP
        @returns         an error when an address can't be listened on
    */
    auto run (const std::function<void()>& onReload) -> std::error_code;

private:
    auto listen() -> std::error_code;
    auto startBackground() -> void;
    auto answerReadiness (Exchange& exchange) -> Task<void>;
    auto answerMetrics (Exchange& exchange) -> Task<void>;
    auto applyConfiguration() -> void;
    auto sweepLoop() -> Task<void>;
    auto stopOnSignal() -> Task<void>;
    auto reloadOnSignal (std::function<void()> onReload) -> Task<void>;

    ServingState state;
    ServingFace face;
    Membership membership;
    PeerExchange peers;
    std::shared_ptr<HttpServer> callers;
    std::shared_ptr<HttpServer> readiness;
    std::shared_ptr<HttpServer> metricsServer;
};

} // namespace snowrudder
