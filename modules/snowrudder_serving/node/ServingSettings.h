#pragma once

#include "../limits/QuotaTolerance.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <string>

namespace snowrudder
{

/** Start-up settings of a node that routes by host and path. Each face fills them from its own settings. */
struct ServingSettings
{
    std::string node;
    std::string failureDomain;
    /** Number of failure domains of the fleet. */
    std::size_t failureDomainCount = 1;
    /** Whether the whole fleet starts for the first time. */
    bool isFleetStart = false;
    /** IP-NUMBER:PORT for callers, for the load balancer's readiness check, and for the metrics collector. */
    std::string listen;
    std::string listenReadiness;
    std::string listenMetrics;
    /** IP-NUMBER:PORT for datagrams from other nodes. */
    std::string listenPeers;
    /** IP-NUMBER:PORT of the state store, and of the service that receives capacity orders and usage reports. */
    std::string store;
    std::string cloud;
    /** Whether this node may perform the duties that one node performs for the whole fleet. */
    bool reportsUsage = false;
    bool ordersReplicas = false;
    /** Bound on the hand-over of duties: within this time, a former holder must not act after its successor has
        acted.
    */
    Duration dutyHolderTime = 3s;
    /** Length of a window of the usage report. */
    Duration usageWindow = 5s;
    /** Deadline of a window's usage report, counted from the window's end. */
    Duration usageReportDelay = 10s;
    /** How long a revoked key may still be accepted. */
    Duration revocationTime = 5s;
    /** Within this time after its acknowledgement, a configuration must be in force. */
    Duration configurationApplyTime = 2s;
    /** The memory at which the machine ends the process, in bytes; 0 if it is not known. */
    std::size_t memoryBytes = 0;
    /** Time from the termination signal until the process is killed. */
    Duration grace = 8s;
    /** Retries allowed over all nodes: a share of the requests, and a fixed number in addition. */
    double retryShare = 0.1;
    double retrySlack = 10.0;
    /** Whether this node follows the operators' rollouts, which move services to other versions. */
    bool followsRollouts = false;
    /** Maximum share of a service's requests that an unproven version receives. */
    double exposureShare = 0.1;
    /** By how much all nodes together may exceed a limit. */
    QuotaTolerance quotaTolerance;
};

} // namespace snowrudder
