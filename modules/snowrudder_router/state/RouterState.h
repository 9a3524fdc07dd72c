#pragma once

#include "OnceState.h"
#include "RouterMetrics.h"
#include "RouterTimeouts.h"

#include "process_settings.pb.h"

#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_limits/snowrudder_limits.h"
#include "snowrudder_requests/snowrudder_requests.h"
#include "snowrudder_routing/snowrudder_routing.h"
#include "snowrudder_serving/snowrudder_serving.h"
#include "snowrudder_settings/snowrudder_settings.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace snowrudder
{

/** State that all workers of a router share. Each table has its own lock. The lock order is described in
    docs/ARCHITECTURE.md: a thread holds at most one table's lock, and while it holds that of RequestTable it may lock
    only a RequestRecord.
*/
struct RouterState
{
    explicit RouterState (const schema::RouterSettings& routerSettings)
        : settings (routerSettings), timeouts (routerTimeouts (routerSettings)),
          limits (serverLimits (routerSettings)), counts (metrics),
          crashes (metrics, replicas, ReplicaNaming::reusedAcrossRestarts),
          requests (timeouts.keepAnswer,
                    routerSettings.has_kept_answer_bytes() ? routerSettings.kept_answer_bytes()
                                                           : defaultKeptBytes),
          once (slotTimes (routerSettings))
    {
    }

    /** @returns the settings tree in force on this router. */
    [[nodiscard]] auto fleet() const -> std::shared_ptr<const FleetView>
    {
        const std::lock_guard lock (fleetMutex);
        return fleetView;
    }

    /** Puts a settings tree in force if its revision is newer.

        @param text  the tree as stored, to be sent to other nodes
        @returns     whether it was newer
    */
    auto setFleet (std::shared_ptr<const FleetView> view, std::string text) -> bool
    {
        const std::lock_guard lock (fleetMutex);

        if (view->revision() <= fleetView->revision())
            return false;

        fleetView = std::move (view);
        fleetText = std::make_shared<const std::string> (std::move (text));
        return true;
    }

    /** Revision and text of the settings tree in force. */
    struct CurrentTree
    {
        std::uint64_t revision = 0;
        std::shared_ptr<const std::string> text;
    };

    [[nodiscard]] auto currentTree() const -> CurrentTree
    {
        const std::lock_guard lock (fleetMutex);
        return { fleetView->revision(), fleetText };
    }

    /** @returns the time from the reclaim notice of this router's VM until it is reclaimed; nothing without a notice. */
    [[nodiscard]] auto reclaimNotice() const -> std::optional<std::chrono::milliseconds>
    {
        const auto milliseconds = noticeMilliseconds.load();
        return milliseconds < 0 ? std::nullopt : std::optional (std::chrono::milliseconds (milliseconds));
    }

    /** @returns the number of routers that share the upstreams, including this one. */
    [[nodiscard]] auto routerCount() const -> std::size_t
    {
        return static_cast<std::size_t> (settings.peers_size()) + 1;
    }

    /** @returns whether the load balancer may send requests to this router. */
    [[nodiscard]] auto isReady() const -> bool
    {
        return hasTree && hasReplicas && hasSlotOwners && ! leaving;
    }

    static constexpr auto defaultKeptBytes = std::size_t { 16 * 1024 * 1024 };

    const schema::RouterSettings settings;
    const RouterTimeouts timeouts;
    const ServerLimits limits;
    Metrics metrics;
    RouterMetrics counts;
    ReplicaTable replicas;
    CrashMonitor crashes;
    RequestTable requests;
    AccountLimiter accounts;
    ServiceQueues queues;
    RetryBudgets retryBudgets;
    OnceState once;

    std::atomic<bool> hasTree { false };
    std::atomic<bool> hasReplicas { false };
    /** Set once every key slot has had an owner with a valid lease; before that, calls with idempotency keys would wait. It
        stays set, because an outage of the platform must not make all routers unready at once.
    */
    std::atomic<bool> hasSlotOwners { false };
    std::atomic<bool> leaving { false };
    /** Time left at the reclaim notice; negative without a notice. */
    std::atomic<std::int64_t> noticeMilliseconds { -1 };
    /** Number of calls to plain services in progress. */
    std::atomic<std::size_t> plainCalls { 0 };

private:
    mutable std::mutex fleetMutex;
    std::shared_ptr<const FleetView> fleetView = std::make_shared<const FleetView>();
    std::shared_ptr<const std::string> fleetText = std::make_shared<const std::string>();
};

/** State that belongs to one worker's thread. */
struct Worker
{
    explicit Worker (asio::io_context& eventLoop)
        : loop (eventLoop), pool (eventLoop.get_executor()), probes (eventLoop, pool)
    {
    }

    asio::io_context& loop;
    ConnectionPool pool;
    SharedProbes probes;
    std::shared_ptr<HttpServer> server;
};

} // namespace snowrudder
