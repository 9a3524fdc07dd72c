#include "ServingNode.h"

#include "../gateway/RoutedGateway.h"
#include "../paths/PathMonitor.h"
#include "../rollout/RolloutLoops.h"
#include "../store/ConfigurationFollower.h"
#include "../store/StoreCallMetrics.h"
#include "../streams/VersionRegistryLoop.h"
#include "ReadinessReport.h"

#include <unistd.h>

#include <utility>

namespace snowrudder
{

namespace
{

constexpr auto sweepInterval = 100ms;

/** How often a node that shuts down without a known peer queries the list of nodes. */
constexpr auto peerPollInterval = Duration (400ms);

/** The part of the memory for requests that the ports for readiness and metrics have for themselves, so that what callers hold
    doesn't make the load balancer remove the node.
*/
constexpr auto checkShare = std::size_t { 16 };

} // namespace

ServingNode::ServingNode (asio::io_context& eventLoop,
                          const ServingSettings& settings,
                          const std::function<ServingFace (ConnectionPool&)>& makeFace)
    : state (eventLoop, settings), face (makeFace (state.pool)), membership (state, face.store),
      peers (state, membership), relay (std::make_shared<ConnectionRelay> (state)),
      requestMemory (std::make_shared<RequestMemory> (requestMemoryBound (settings.memoryBytes))),
      checkMemory (std::make_shared<RequestMemory> (requestMemory->maxBytes() / checkShare))
{
    state.probes.confirm = [this] (std::string endpoint, EndpointState own)
    { return askOthersAbout (state, std::move (endpoint), own); };
    state.protocol = face.upstreams;
    face.store = withCallMetrics (std::move (face.store), state.metrics);
    state.announcePrompt = [this] (PromptNotice notice) { peers.announce (std::move (notice)); };
    state.passOnRest = [this] (const RelayNodes::Endpoint& node, const RestNotice& notice)
    { peers.passOnRest (node, notice); };
    state.announceConfiguration = [this] { peers.announceConfiguration(); };
    state.announceStream = [this] (KnownStream stream) { peers.streams().announce (stream); };
    state.askForStream = [this] (StreamKey key, std::string request)
    { return peers.streams().ask (key, std::move (request)); };
    state.leadership.token = settings.node + "/" + toString (makeUuid (wallTimeNow()));
    state.trueTime.compare (BootClock::now(), wallTimeNow().time_since_epoch());
}

auto ServingNode::run (const std::function<void()>& onReload) -> std::error_code
{
    if (const auto error = listen())
        return error;

    startBackground();
    const ProcessSignals signals (
        state.loop.get_executor(), [this] { stop(); },
        [&onReload]
        {
            LogLine ("reload").info();
            onReload();
        });

    LogLine ("started")
        .with ("node", state.settings.node)
        .with ("failure_domain", state.settings.failureDomain)
        .with ("listen", state.settings.listen)
        .with ("store", state.settings.store)
        .with ("process", ::getpid())
        .with ("memory_limit_bytes", state.settings.memoryBytes)
        .with ("uptime_milliseconds", inMilliseconds (BootClock::now().time_since_epoch()))
        .info();

    state.loop.run();
    LogLine ("stopped").info();
    return {};
}

auto ServingNode::listen() -> std::error_code
{
    const ServerLimits limits;
    ServerLimits limitsWithoutBody;
    limitsWithoutBody.bodyBytes = 0;
    const auto rejection = [this] (const RejectedInput& input)
    { return rejectInput (input, makeProblem (input.kind)); };
    callers = std::make_shared<HttpServer> (
        state.loop, limits,
        [this] (Exchange& exchange)
        { return handleRouted (state, exchange, face.readRequest (exchange.request())); },
        [this] (const RejectedInput& input)
        { return rejectInput (input, problemOfInput (state, input, BootClock::now())); });
    readiness = std::make_shared<HttpServer> (
        state.loop, limitsWithoutBody, [this] (Exchange& exchange) { return answerReadiness (exchange); },
        rejection);

    callers->shareMemory (requestMemory);
    callers->groupCallers ([this] (const http::fields& fields) { return callerGroup (fields); });
    readiness->shareMemory (checkMemory);
    callers->countFaultsIn (state.metrics.counter ("snowrudder_broken_requests_total"));

    if (const auto error = callers->listen (parseEndpoint (state.settings.listen)))
        return error;

    if (const auto error = readiness->listen (parseEndpoint (state.settings.listenReadiness)))
        return error;

    if (! state.settings.listenMetrics.empty())
    {
        metricsServer = std::make_shared<HttpServer> (
            state.loop, limitsWithoutBody, [this] (Exchange& exchange) { return answerMetrics (exchange); },
            rejection);
        metricsServer->shareMemory (checkMemory);

        if (const auto error = metricsServer->listen (parseEndpoint (state.settings.listenMetrics)))
            return error;
    }

    if (const auto error = relay->listen (parseEndpoint (state.settings.listenPeers)))
        return error;

    return peers.start();
}

auto ServingNode::startBackground() -> void
{
    asio::co_spawn (state.loop,
                    followConfiguration (state, face.store, face.formats, [this] { applyConfiguration(); }),
                    asio::detached);
    asio::co_spawn (state.loop, followReplicas (state, face.store, face.formats), asio::detached);
    asio::co_spawn (state.loop, membership.follow(), asio::detached);
    asio::co_spawn (state.loop, keepVersionRegistry (state, face.store), asio::detached);
    asio::co_spawn (state.loop, sweepLoop(), asio::detached);

    const auto hasDuties =
        state.settings.reportsUsage || state.settings.ordersReplicas || state.settings.followsRollouts;

    if (! hasDuties)
        return;

    asio::co_spawn (state.loop, keepLeadership (state, face.store), asio::detached);

    if (state.settings.followsRollouts)
    {
        asio::co_spawn (state.loop, followRollouts (state, face.store, face.formats), asio::detached);
        asio::co_spawn (state.loop, decideRollouts (state, face.store, face.formats), asio::detached);
    }

    if (state.settings.reportsUsage)
        asio::co_spawn (state.loop, reportUsage (state, face.store, face.duties), asio::detached);

    if (state.settings.ordersReplicas)
        asio::co_spawn (state.loop, orderReplicas (state, face.duties), asio::detached);
}

auto ServingNode::rejectInput (const RejectedInput& input, const Problem& problem) const -> Rejection
{
    auto id = state.protocol.requestId (input.fields);
    auto response = state.protocol.problem (problem, id);
    return { std::move (response), std::move (id) };
}

auto ServingNode::callerGroup (const http::fields& fields) const -> std::string
{
    const auto& configuration = state.configuration.current;

    if (! configuration)
        return {};

    const auto account = findAccount (*configuration, face.callerKey (fields));
    return account ? "account " + account->name : std::string();
}

auto ServingNode::answerReadiness (Exchange& exchange) -> Task<void>
{
    const auto gaps = state.readinessGaps (BootClock::now());
    const auto isReady = exchange.path() == face.readinessPath && gaps.isEmpty();
    const auto status = isReady ? http::status::ok : http::status::service_unavailable;
    std::string body = isReady ? "ready\n" : "not ready\n";

    if (! gaps.isEmpty())
        body = "not ready: " + toString (gaps) + "\n";

    co_await exchange.respond (status, "text/plain", std::move (body));
}

auto ServingNode::answerMetrics (Exchange& exchange) -> Task<void>
{
    state.crashes.publishSizes (BootClock::now());
    publish (*requestMemory, state.metrics);
    auto& dropped = state.metrics.counter ("snowrudder_log_lines_dropped_total");
    dropped.add (droppedLogLines() - dropped.value());
    co_await exchange.respond (http::status::ok, "text/plain; version=0.0.4", state.metrics.text());
}

auto ServingNode::applyConfiguration() -> void
{
    state.updateShares (BootClock::now());
    const auto fillsFrom = state.sharing.startTime + reportDelay (state.memberCount());

    for (const auto& account : state.configuration.current->accounts)
        state.quota.learnLimit (*account, state.settings.quotaTolerance, fillsFrom);

    const auto& bounds = state.configuration.current->bounds;
    ServerLimits limits;
    limits.headerBytes = bounds.headerBytes;
    limits.bodyBytes = bounds.bodyBytes;
    limits.headerTimeout = bounds.headerTimeout;
    limits.bodyTimeout = bounds.idleTimeout;
    limits.idleTimeout = bounds.idleTimeout;
    callers->setLimits (limits);
}

auto ServingNode::sweepLoop() -> Task<void>
{
    SuspensionWatch suspensions;
    ReadinessReport readinessReport (state.metrics);
    MemoryWatch memory;
    memory.limitBytes = state.settings.memoryBytes;

    for (;;)
    {
        recordSuspension (suspensions, state.metrics);
        const auto now = BootClock::now();
        recordMemoryPeak (memory, now);
        state.trueTime.compare (now, wallTimeNow().time_since_epoch());
        state.pool.closeExpired (now);
        state.quota.charge (state.peers.chargeSilentPeers (sweepInterval, now), now);

        if (state.role() == ReportRole::reader)
            state.peers.refreshRates (now);

        if (dropMissing (state.directory, now))
            state.publishDirectory (now);

        state.versions.removeExpired (now);
        checkPaths (state, now);
        state.crashes.recheckUnconfirmed (state.probes, now);
        state.crashes.evidence().removeExpired (now);

        state.updateShares (now);
        readinessReport.update (state, now);
        flushLog();
        co_await pauseFor (state.loop, sweepInterval);
    }
}

auto ServingNode::stop() -> void
{
    if (! std::exchange (isStopping, true))
        asio::co_spawn (state.loop, drainAndStop(), asio::detached);
}

auto ServingNode::drainAndStop() -> Task<void>
{
    const auto stop = stopTimes (BootClock::now(), state.settings.grace);
    state.leaving = true;
    state.stop = stop;
    LogLine ("leaving").with ("open_requests", state.openRequests.size()).info();
    tellOpenRequests();
    asio::co_spawn (state.loop, endOpenRequests (stop), asio::detached);
    peers.streams().handOver();
    co_await releaseLeadership (state, face.store);
    // Before the drain wait: the store may be unavailable, and the grace time is running.
    co_await membership.leave();

    // While this node drains, its counts are sent to the other nodes. If it knows none, it keeps querying: one may
    // have just started.
    while (BootClock::now() < stop.drainStart)
    {
        co_await membership.listOthersIfNone();
        co_await pauseFor (state.loop,
                           std::min<Duration> (peerPollInterval, stop.drainStart - BootClock::now()));
    }

    state.isDrained = true;
    callers->drain();

    while (BootClock::now() < stop.end &&
           (! state.openRequests.empty() || callers->busyConnections() > 0 || state.relayedConnections > 0))
    {
        co_await pauseFor (state.loop, sweepInterval);
    }

    LogLine ("drained").with ("open_requests", state.openRequests.size()).info();
    state.loop.stop();
}

auto ServingNode::endOpenRequests (StopTimes stop) -> Task<void>
{
    for (const auto time : { stop.lastAnswer, stop.lastByte })
    {
        co_await pauseFor (state.loop, std::max (Duration::zero(), time - BootClock::now()));
        tellOpenRequests();
    }
}

auto ServingNode::tellOpenRequests() -> void
{
    for (const auto& followStop : state.openRequests)
        followStop();
}

} // namespace snowrudder
