#pragma once

#include "../limits/QuotaTolerance.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <string>

namespace snowrudder
{

/** What a node that routes by host and path needs to know at its start. Faces fill it from their own settings. */
struct ServingSettings
{
    std::string node;
    std::string failureDomain;
    /** IP-NUMBER:PORT for callers, for the balancer's question, and for the metrics collector. */
    std::string listen;
    std::string listenReadiness;
    std::string listenMetrics;
    /** IP-NUMBER:PORT for datagrams of other nodes. */
    std::string listenPeers;
    /** IP-NUMBER:PORT of the state store and of what takes capacity orders and usage reports. */
    std::string store;
    std::string cloud;
    /** Whether this node may do the duties that one node does for all. */
    bool reportsUsage = false;
    bool ordersReplicas = false;
    /** Of a holder of duties: within this time nobody may come after a successor and before it again. */
    Duration dutyHolderTime = 3s;
    Duration usageWindow = 5s;
    /** A window's report is due this long after its end. */
    Duration usageReportDelay = 10s;
    /** How long a key may be used after it was revoked. */
    Duration revocationTime = 5s;
    /** From the signal to stop until the process is killed. */
    Duration grace = 8s;
    /** Retries over all nodes within `retryWindow`: a share of the requests, and a fixed number. */
    double retryShare = 0.1;
    double retrySlack = 10.0;
    /** Whether operators may order to move services to other versions. */
    bool followsRollouts = false;
    /** Of a service's requests, the share that an unproved version may get at most. */
    double exposureShare = 0.1;
    /** By how much all nodes together may go over a limit. */
    QuotaTolerance quotaTolerance;
};

} // namespace snowrudder
