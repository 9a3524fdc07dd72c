#pragma once

#include "../capacity/DemandMeter.h"
#include "../capacity/WorkMeter.h"
#include "../configuration/ConfigurationState.h"
#include "../configuration/ConfigurationTransfer.h"
#include "../configuration/DenialBasis.h"
#include "../crashes/CrashMonitor.h"
#include "../directory/ReplicaDirectory.h"
#include "../duties/Leadership.h"
#include "../duties/UsageCollector.h"
#include "../duties/UsageWindows.h"
#include "../limits/FleetDemand.h"
#include "../limits/LimitLog.h"
#include "../limits/QuotaSharing.h"
#include "../members/LeavingNotice.h"
#include "../members/PeerTable.h"
#include "../members/ReportRole.h"
#include "../members/RestNotice.h"
#include "../members/StoreUpdates.h"
#include "../members/TrueTime.h"
#include "../paths/DirectAttempts.h"
#include "../paths/RelayNodes.h"
#include "../paths/ReplicaPaths.h"
#include "../queue/ServiceQueues.h"
#include "../request/UpstreamProtocol.h"
#include "../rollout/RolloutState.h"
#include "../store/StoreCall.h"
#include "../streams/StreamContinuation.h"
#include "NodeStop.h"
#include "Readiness.h"
#include "ServingMetrics.h"
#include "ServingSettings.h"

#include "snowrudder_net/snowrudder_net.h"
#include "snowrudder_requests/snowrudder_requests.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <optional>
#include <utility>

namespace snowrudder
{

/** State of a node that routes by host and path. Used from one event loop only, without locking. */
struct ServingState
{
    ServingState (asio::io_context& eventLoop, const ServingSettings& servingSettings)
        : loop (eventLoop), settings (servingSettings), pool (eventLoop.get_executor()),
          probes (eventLoop, pool),
          counts (metrics), freshness { servingSettings.revocationTime, FreshnessBounds().margin },
          denial { servingSettings.configurationApplyTime, DenialBounds().margin },
          crashes (metrics, replicas, ReplicaNaming::uniquePerStart), usage (servingSettings.usageWindow),
          usageOfOthers (servingSettings.failureDomain), rollouts (servingSettings),
          quota (sharing.startTime), peers (sharing.startTime),
          configurationWake (std::make_shared<Signal> (eventLoop.get_executor())),
          transferWake (std::make_shared<Signal> (eventLoop.get_executor()))
    {
    }

    /** @returns what keeps the load balancer from sending callers to this node. */
    [[nodiscard]] auto readinessGaps (TimePoint now) const -> ReadinessGaps
    {
        return readinessGapsOf ({ configuration.current != nullptr, isFresh (configuration, freshness, now),
                                  hasReplicas, leaving });
    }

    /** Applies the directory to rollouts and to the selection of replicas. */
    auto publishDirectory (TimePoint now) -> void
    {
        const auto hadReplicas = std::exchange (hasReplicas, hasReplicas || ! directory.entries.empty());
        rollouts.recordListedVersions (directory);
        applyReplicaChanges (takeListChanges (directory), now);

        // From now on this node may be ready.
        if (! hadReplicas && hasReplicas)
            updateShares (now);
    }

    /** Sets this node's shares of what the replicas bear: permits, requests a second, idle connections. */
    auto updateShares (TimePoint now) -> void
    {
        replicas.setFleetPosition (fleetPosition());

        if (! configuration.current)
            return;

        pool.setMaxIdle (maxIdleConnections (*configuration.current, memberCount()));

        for (const auto& [name, service] : configuration.current->services)
        {
            replicas.setRateShare (name, rateShare (name, now), now);
            const auto capacity = replicas.capacity (name, now);
            const auto keptShare = 0.0;
            queues.setCapacity (name,
                                { capacity.slots - capacity.dividedSlots,
                                  capacity.busy - capacity.dividedBusy, nodeCount (now), keptShare,
                                  capacity.ownPlaces },
                                now);
        }
    }

    /** Applies changes of the listed replicas to their selection and to the versions that were seen. */
    auto applyReplicaChanges (const ListChanges& changes, TimePoint now) -> void
    {
        versions.apply (changes, now);
        replicas.applyChanges (changes.changed, changes.removed, now);
    }

    /** Records that an answer showed to this node or another one that a replica is leaving, so that it gets no more requests.

        @param source  how it is known, for the log
        @param by      the request whose answer showed it, or the node that told it, for the log
        @returns       whether this was not known
    */
    auto showLeaving (std::uint64_t incarnation, std::string_view source, std::string_view by, TimePoint now)
        -> bool
    {
        if (! recordShownLeaving (directory, incarnation, now))
            return false;

        metrics.counter ("snowrudder_replicas_shown_leaving_total").add();
        LogLine ("replica_shown_leaving")
            .with ("replica", nameOf (directory, incarnation))
            .with ("incarnation", incarnation)
            .with ("source", source)
            .with ("by", by)
            .info();
        publishDirectory (now);
        return true;
    }

    /** @returns the number of nodes that share limits and replicas, including this one. */
    [[nodiscard]] auto nodeCount (TimePoint now) const -> std::size_t
    {
        return peers.countRecentNodes (now) + 1;
    }

    /** @returns the number of nodes in the store's latest list, including this one; 1 before the first list. */
    [[nodiscard]] auto memberCount() const -> std::size_t { return sharing.members.value_or (1); }

    /** @returns the part that this node may use of the limits that a service's replicas state for all nodes together. */
    auto rateShare (const std::string& service, TimePoint now) -> double
    {
        const auto own =
            updateLimitShare (demandShares[service], peers, service, requestRates.perSecond (service, now),
                              sharing.members, sharing.startTime, now);
        logLimits (limitLog, service, own, now - peers.lastReceived(), replicas.replicasWithLimit (service),
                   now);
        return own.share;
    }

    /** @returns this node's position among the members. A node that doesn't list them draws one by its name. */
    [[nodiscard]] auto fleetPosition() const -> FleetPosition
    {
        const auto members = std::max<std::size_t> (memberCount(), 1);
        const auto drawn = static_cast<std::size_t> (hashBytes (settings.node) % members);
        return { memberPosition.value_or (drawn), members };
    }

    /** Records how many rejections a second a replica stated that it bears, to this node or another one. */
    auto recordRejectionLimit (std::uint32_t replica, std::optional<double> perSecond, TimePoint statedAt)
        -> void
    {
        if (! replicas.recordRejectionLimit (replica, perSecond, statedAt))
            return;

        metrics.counter ("snowrudder_rejection_limit_changes_total").add();
        LogLine ("rejection_limit_changed")
            .with ("replica_hash", replica)
            .with ("rejections_per_second", perSecond.value_or (-1.0))
            .with ("nodes", memberCount())
            .info();
    }

    /** Records what a replica stated about its limit of requests a second, to this node or another one. */
    auto recordRateLimit (std::uint32_t replica,
                          std::optional<double> perSecond,
                          TimePoint statedAt,
                          TimePoint now) -> void
    {
        const auto before = replicas.rateLimit (replica);

        if (! replicas.recordRateLimit (replica, perSecond, statedAt, now))
            return;

        metrics.counter ("snowrudder_rate_limit_changes_total").add();
        LogLine ("rate_limit_changed")
            .with ("replica_hash", replica)
            .with ("before", before.value_or (-1.0))
            .with ("requests_per_second", perSecond.value_or (-1.0))
            .with ("nodes", std::max (nodeCount (now), memberCount()))
            .with ("age_milliseconds", inMilliseconds (now - statedAt))
            .info();
    }

    /** @returns this node's role in the exchange of reports between nodes. */
    [[nodiscard]] auto role() const -> ReportRole { return reportRole (memberCount(), isCollector); }

    /** @returns the maximum number of retries that this node may accumulate: its share of half of the fleet's fixed
        number, and at least 1. The other half is a reserve for nodes that discover each other late. With no retry at
        all, a node could not even replace a refused attempt.
    */
    [[nodiscard]] auto maxSavedRetries() const -> double
    {
        constexpr auto sharedOutPart = 0.5;
        constexpr auto minimum = 1.0;
        return std::max (minimum, settings.retrySlack * sharedOutPart / static_cast<double> (memberCount()));
    }

    asio::io_context& loop;
    const ServingSettings settings;
    /** Set once, before the first request. */
    UpstreamProtocol protocol;
    /** Announces to the other nodes a prompt that a replica has to process. Set once, before the first request. */
    std::function<void (PromptNotice)> announcePrompt;
    /** Tells other nodes that a configuration has come into force here. Set once, before the first request. */
    std::function<void()> announceConfiguration = [] {};
    /** Tells a node that relayed a connection that the replica asked for rest. Set once, before the first request. */
    std::function<void (const RelayNodes::Endpoint&, const RestNotice&)> passOnRest =
        [] (const RelayNodes::Endpoint&, const RestNotice&) {};
    /** Records where a stream began, here and at other nodes. Set once, before the first request. */
    std::function<void (KnownStream)> announceStream = [this] (KnownStream stream)
    { streamOrigins.record (stream, BootClock::now()); };
    /** Asks other nodes where a stream began that a request takes up. Set once, before the first request. */
    std::function<Task<StreamInquiry> (StreamKey, std::string)> askForStream =
        [] (StreamKey, std::string) -> Task<StreamInquiry> { co_return StreamInquiry(); };
    ConnectionPool pool;
    SharedProbes probes;
    Metrics metrics;
    ServingMetrics counts;
    ConfigurationState configuration;
    ConfigurationTransfer transfer;
    ConfigurationSending sending;
    /** The node that handed the current configuration on to this one; nothing if it was read at the store. */
    std::optional<ConfigurationTransfer::Endpoint> configurationSource;
    const FreshnessBounds freshness;
    const DenialBounds denial;
    ReplicaDirectory directory;
    ReplicaTable replicas;
    CrashMonitor crashes;
    ServiceQueues queues;
    RetryBudgets retryBudgets;
    UsageWindows usage;
    UsageCollector usageOfOthers;
    RolloutState rollouts;
    VersionHistory versions;
    VersionRegistry versionRegistry;
    StreamOriginTable streamOrigins;
    /** Prompt tokens sent to replicas. */
    WorkMeter work { workAveragingTime };
    /** Requests, those included that no replica was found for. */
    DemandMeter requestRates;
    /** This node's parts of the limits that replicas state, by service. */
    std::map<std::string, DemandShare, std::less<>> demandShares;
    LimitLog limitLog;
    Leadership leadership;
    const LeadershipTimes leadershipTimes;
    QuotaSharing sharing { BootClock::now(), std::nullopt, false };
    /** This node's place in the order of the members' names, if it lists all of them. */
    std::optional<std::size_t> memberPosition;
    SharedQuota quota;
    PeerTable peers;
    TrueTime trueTime;
    StoreUpdateState storeUpdates;
    /** Whether this node collects the reports, usage and crash evidence of its failure domain; see Readers.h. */
    bool isCollector = true;
    SharedLoads loads;
    LeavingNews leavingNews;
    ReplicaPaths paths;
    RelayNodes relays;
    DirectAttempts directAttempts;
    /** Connections that this node relays for others. */
    std::size_t relayedConnections = 0;
    /** Ends the pause before the next poll of the configuration. */
    const std::shared_ptr<Signal> configurationWake;
    /** Ends the pause before the next query for a part of a configuration. */
    const std::shared_ptr<Signal> transferWake;
    /** Signs messages between nodes and keys the fingerprints of requests. Empty until the nodes have agreed on one. */
    std::string fleetSecret;
    bool hasReplicas = false;
    bool isStoreReached = true;
    StoreCalls storeCalls;
    bool leaving = false;
    /** Whether this node, which is shutting down, no longer admits requests. */
    bool isDrained = false;
    /** Set once this node shuts down. */
    std::optional<StopTimes> stop;
    OpenRequests openRequests;
};

} // namespace snowrudder
