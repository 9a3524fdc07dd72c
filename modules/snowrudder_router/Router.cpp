#include "Router.h"

#include "background/LoadWatcher.h"
#include "background/PlatformFollower.h"
#include "background/Sweep.h"
#include "gateway/CallerScope.h"
#include "gateway/Gateway.h"
#include "model/RequestHandover.h"
#include "once/SlotHandover.h"
#include "once/SlotKeeper.h"
#include "peers/CrashExchange.h"
#include "peers/TreeExchange.h"

namespace snowrudder
{

namespace
{

constexpr auto defaultWorkers = std::uint32_t { 2 };

/** Time that the load balancer needs to detect that a router is no longer ready. */
constexpr auto balancerDelay = 1s;

/** The largest bodies that a worker's memory for requests has room for in any case: half of it is one group's, beside headers and
    buffers.
*/
constexpr auto leastBodies = std::size_t { 3 };

auto workerCount (const schema::RouterSettings& settings) -> std::uint32_t
{
    return settings.has_workers() ? settings.workers() : defaultWorkers;
}

} // namespace

Router::Router (const schema::RouterSettings& settings) : pool (workerCount (settings)), state (settings)
{
    for (auto index = std::size_t { 0 }; index < pool.size(); ++index)
        workers.emplace_back (pool.loop (index));
}

Router::~Router()
{
    pool.stop();
    pool.join();
    pool.destroyWaitingCoroutines();
}

auto Router::run() -> std::error_code
{
    if (const auto error = listen())
        return error;

    startBackground();
    const ProcessSignals signals (
        workers.front().loop.get_executor(), [this] { isStopRequested = true; }, [] {});
    asio::co_spawn (workers.front().loop, stopOnRequest(), asio::detached);

    LogLine ("started")
        .with ("node", state.settings.node().name())
        .with ("failure_domain", state.settings.node().failure_domain())
        .with ("listen", state.settings.listen())
        .with ("workers", workers.size())
        .info();

    pool.start();
    pool.join();
    LogLine ("stopped").info();
    return {};
}

auto Router::listen() -> std::error_code
{
    for (auto& worker : workers)
    {
        worker.server = std::make_shared<HttpServer> (
            worker.loop, state.limits,
            [this, &worker] (Exchange& exchange) { return handleExchange (state, worker, exchange); },
            [this] (const RejectedInput& input) {
                return Rejection { rejectionResponse (state, input.kind), {} };
            });

        worker.server->shareMemory (std::make_shared<RequestMemory> (
            std::max (requestMemoryBound (0) / workers.size(), leastBodies * state.limits.bodyBytes)));
        worker.server->countFaultsIn (state.metrics.counter ("snowrudder_broken_requests_total"));

        if (const auto error = worker.server->listen (parseEndpoint (state.settings.listen())))
            return error;
    }

    return {};
}

auto Router::startBackground() -> void
{
    auto& worker = workers.front();
    const auto crashSignal = std::make_shared<Signal> (worker.loop.get_executor());
    state.crashes.onNewEvidence = [crashSignal] { crashSignal->notify(); };
    asio::co_spawn (worker.loop, followTree (state, worker), asio::detached);
    asio::co_spawn (worker.loop, gossipTree (state, worker), asio::detached);
    asio::co_spawn (worker.loop, gossipCrashes (state, worker, crashSignal), asio::detached);
    asio::co_spawn (worker.loop, followVmList (state, worker), asio::detached);
    asio::co_spawn (worker.loop, watchLoads (state, worker), asio::detached);
    asio::co_spawn (worker.loop, keepSlots (state, worker), asio::detached);
    asio::co_spawn (worker.loop, sweepRequests (state, worker), asio::detached);
}

auto Router::stopOnRequest() -> Task<void>
{
    auto& worker = workers.front();
    const auto drainTime = co_await waitForStopRequest();

    state.leaving = true;
    LogLine ("leaving")
        .with ("open_requests", state.requests.openCount())
        .with ("drain_milliseconds", inMilliseconds (drainTime))
        .info();
    const auto drainEnd = BootClock::now() + drainTime;

    // The load balancer sends requests here until it has polled /readyz. Slots are handed over before that wait, as their
    // successors needn't wait for the load balancer.
    co_await handOverSlots (state, worker);
    BootTimer timer (worker.loop, std::min<Duration> (balancerDelay, drainTime / 2));
    co_await timer.async_wait (asTuple);

    for (auto& each : workers)
        asio::post (each.loop, [server = each.server] { server->drain(); });

    const auto isIdle = co_await waitUntilIdle (drainEnd);

    co_await handOverRequests (state, worker);

    // Leaves time to inform the callers whose requests were handed over before the process ends.
    timer.expires_after (isIdle ? 0ms : 200ms);
    co_await timer.async_wait (asTuple);

    LogLine ("drained")
        .with ("open_requests", state.requests.openCount())
        .with ("in_time", isIdle ? "yes" : "no")
        .info();
    pool.stop();
}

auto Router::waitForStopRequest() -> Task<Duration>
{
    BootTimer timer (workers.front().loop);

    for (;;)
    {
        if (isStopRequested)
            co_return state.timeouts.drain;

        // A reclaim notice leaves only seconds. Requests that don't finish in the first half of the time are handed over in
        // the second.
        if (const auto notice = state.reclaimNotice(); notice)
            co_return std::min<Duration> (state.timeouts.drain, *notice / 2);

        timer.expires_after (50ms);
        co_await timer.async_wait (asTuple);
    }
}

auto Router::waitUntilIdle (TimePoint end) -> Task<bool>
{
    BootTimer timer (workers.front().loop);

    while (BootClock::now() < end)
    {
        timer.expires_after (50ms);
        co_await timer.async_wait (asTuple);

        auto busy = state.plainCalls.load() + state.requests.openCount();

        for (auto& worker : workers)
            busy += worker.server->busyConnections();

        if (busy == 0)
            co_return true;
    }

    co_return false;
}

} // namespace snowrudder
