#pragma once

#include "../capacity/WorkMeter.h"
#include "../configuration/ConfigurationState.h"
#include "../crashes/CrashWatch.h"
#include "../directory/ReplicaDirectory.h"
#include "../duties/Leadership.h"
#include "../duties/UsageCollector.h"
#include "../duties/UsageWindows.h"
#include "../limits/QuotaSharing.h"
#include "../members/News.h"
#include "../members/PeerTable.h"
#include "../members/ReportRole.h"
#include "../members/TrueTime.h"
#include "../queue/ServiceQueues.h"
#include "../request/UpstreamProtocol.h"
#include "../rollout/RolloutState.h"
#include "ServingMetrics.h"
#include "ServingSettings.h"

#include "snowrudder_net/snowrudder_net.h"
#include "snowrudder_requests/snowrudder_requests.h"
#include "snowrudder_routing/snowrudder_routing.h"

namespace snowrudder
{

/** What one node that routes by host and path works with. Belongs to one event loop; needs no lock of its own. */
struct ServingState
{
    ServingState (asio::io_context& eventLoop, const ServingSettings& servingSettings)
        : loop (eventLoop), settings (servingSettings), pool (eventLoop.get_executor()),
          probes (eventLoop, pool),
          counts (metrics), freshness { servingSettings.revocation, FreshnessBounds().margin },
          crashes (metrics, replicas, ReplicaNaming::starts), usage (servingSettings.usageWindow),
          usageOfOthers (servingSettings.failureDomain), rollouts (servingSettings),
          quota (sharing.startTime), peers (sharing.startTime),
          configurationWake (std::make_shared<Signal> (eventLoop.get_executor()))
    {
    }

    /** @returns whether the balancer may send callers here. */
    [[nodiscard]] auto isReady (TimePoint now) const -> bool
    {
        return hasReplicas && ! leaving && isFresh (configuration, freshness, now);
    }

    /** Puts the directory in force for the choice of replicas. */
    auto publishDirectory (TimePoint now) -> void
    {
        hasReplicas = hasReplicas || ! directory.entries.empty();
        rollouts.recordListedVersions (directory);
        replicas.update (listedReplicas (directory), now);
    }

    /** Nodes that share limits and replicas, this one included. */
    [[nodiscard]] auto nodeCount (TimePoint now) const -> std::size_t { return peers.countHeard (now) + 1; }

    /** @returns nodes that the store last listed, this one included; 1 before it listed them once. */
    [[nodiscard]] auto memberCount() const -> std::size_t { return sharing.members.value_or (1); }

    /** @returns what this node does among those that report to each other. */
    [[nodiscard]] auto role() const -> ReportRole { return reportRole (memberCount(), news.isReader); }

    /** @returns retries that this node may save up: its part of half of the fleet's fixed number. The other half is kept back
        for nodes that know each other late. A node without any could not even replace an attempt that was refused.
    */
    [[nodiscard]] auto savedRetries() const -> double
    {
        constexpr auto partGivenOut = 0.5;
        constexpr auto least = 1.0;
        return std::max (least, settings.retrySlack * partGivenOut / static_cast<double> (memberCount()));
    }

    asio::io_context& loop;
    const ServingSettings settings;
    /** Set once, before the first request. */
    UpstreamProtocol protocol;
    /** Tells the other nodes of a prompt that a replica has to read. Set once, before the first request. */
    std::function<void (PromptNotice)> announcePrompt;
    ConnectionPool pool;
    SharedProbes probes;
    Metrics metrics;
    ServingMetrics counts;
    ConfigurationState configuration;
    const FreshnessBounds freshness;
    ReplicaDirectory directory;
    ReplicaTable replicas;
    CrashWatch crashes;
    ServiceQueues queues;
    RetryBudgets retryBudgets;
    UsageWindows usage;
    UsageCollector usageOfOthers;
    RolloutState rollouts;
    WorkMeter work;
    Leadership leadership;
    const LeadershipTimes leadershipTimes;
    QuotaSharing sharing { SteadyClock::now(), std::nullopt, false };
    SharedQuota quota;
    PeerTable peers;
    TrueTime trueTime;
    NewsState news;
    SharedLoads loads;
    /** Ends the pause before the next look at the configuration. */
    const std::shared_ptr<Signal> configurationWake;
    /** Signs what nodes tell each other, and keys the fingerprints of requests. Empty until the nodes have agreed on one. */
    std::string fleetSecret;
    bool hasReplicas = false;
    bool isStoreReached = true;
    bool leaving = false;
    /** Whether a stopping node takes nothing new any more. */
    bool isDrained = false;
    std::size_t openRequests = 0;
};

} // namespace snowrudder
