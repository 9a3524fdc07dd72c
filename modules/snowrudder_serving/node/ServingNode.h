#pragma once

#include "../duties/DutyLoops.h"
#include "../members/PeerExchange.h"
#include "../paths/ConnectionRelay.h"
#include "../store/StoreFollowers.h"
#include "ServingState.h"

#include <memory>

namespace snowrudder
{

/** What a face provides to a node: the protocols of callers, upstreams and the platform. */
struct ServingFace
{
    UpstreamProtocol upstreams;
    /** Decodes a caller's request; the message is moved out of the exchange. */
    std::function<std::variant<CallerRequest, Problem> (HttpRequest&)> readRequest;
    /** @returns the key of a caller's request by its header. */
    std::function<std::string_view (const http::fields&)> callerKey;
    /** Path of the load balancer's readiness check. */
    std::string readinessPath;
    StoreFormats formats;
    StateStore store;
    DutyCalls duties;
};

/** A node that routes requests by host and path: its listeners, its watches on the store, its communication with
    other nodes and its graceful shutdown. Runs on one thread with one event loop.
*/
class ServingNode
{
public:
    /** @param makeFace  creates the face; called with the event loop's connection pool */
    ServingNode (asio::io_context& eventLoop,
                 const ServingSettings& settings,
                 const std::function<ServingFace (ConnectionPool&)>& makeFace);

    /** Serves requests until a graceful shutdown has finished.

        @param onReload  called on SIGHUP
        @returns         an error if listening on an address fails
    */
    auto run (const std::function<void()>& onReload) -> std::error_code;

private:
    auto listen() -> std::error_code;
    auto startBackground() -> void;
    auto rejectInput (const RejectedInput& input, const Problem& problem) const -> Rejection;
    /** @returns whose share of the memory for requests a request takes; empty if its key belongs to no client account. */
    [[nodiscard]] auto callerGroup (const http::fields& fields) const -> std::string;
    auto answerReadiness (Exchange& exchange) -> Task<void>;
    auto answerMetrics (Exchange& exchange) -> Task<void>;
    auto applyConfiguration() -> void;
    auto sweepLoop() -> Task<void>;
    /** Begins the graceful shutdown, unless it has begun. */
    auto stop() -> void;
    auto drainAndStop() -> Task<void>;
    /** Ends requests in time before this node does. */
    auto endOpenRequests (StopTimes stop) -> Task<void>;
    auto tellOpenRequests() -> void;

    ServingState state;
    ServingFace face;
    Membership membership;
    PeerExchange peers;
    std::shared_ptr<ConnectionRelay> relay;
    std::shared_ptr<RequestMemory> requestMemory;
    /** Of the ports for readiness and metrics. */
    std::shared_ptr<RequestMemory> checkMemory;
    std::shared_ptr<HttpServer> callers;
    std::shared_ptr<HttpServer> readiness;
    std::shared_ptr<HttpServer> metricsServer;
    bool isStopping = false;
};

} // namespace snowrudder
