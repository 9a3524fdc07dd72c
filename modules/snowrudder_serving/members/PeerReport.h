#pragma once

#include "../paths/RelayNodes.h"
#include "AccountPart.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** A node's use of one client account, in tokens. */
struct AdmittedTokens
{
    /** Admitted since the node's start. */
    double tokens = 0.0;
    /** Recent rate of admitted tokens. */
    double tokensPerSecond = 0.0;
    /** Recent rate of tokens that callers requested, admitted or not. */
    double requestedPerSecond = 0.0;
    /** The node's estimate of what is left of the account's burst, below zero after an overshoot. Not set while the
        node has had no request of the account: it doesn't know the limit then, and counts only what other nodes
        admitted.
    */
    std::optional<double> level {};
};

/** Amounts by client account. */
using AccountAmounts = std::map<std::string, double, std::less<>>;

using AdmittedByAccount = std::map<std::string, AdmittedTokens, std::less<>>;

/** Work that a node assigned to the replicas of one service. */
struct ServiceWork
{
    /** Recent rate of prompt tokens that the replicas have to process. */
    double tokensPerSecond = 0.0;
    /** Requests that are in progress at the replicas. */
    double inFlight = 0.0;
    /** Prompt tokens that replicas process per millisecond, as estimated by the node. */
    std::optional<double> promptSpeed {};
    /** Recent rate of requests, those included that no replica was found for. */
    double requestsPerSecond = 0.0;
};

/** The demand of other nodes for a service. */
struct ReportedDemand
{
    double requestsPerSecond = 0.0;
    /** Number of nodes that it covers. */
    std::uint32_t nodes = 0;
};

/** The nodes that the figures of a report cover. */
enum class ReportScope
{
    /** The sender alone. */
    node,
    /** A reader and the nodes that report to it; sent to the other readers. */
    nodesOfReader,
    /** All nodes but the recipient; a reader's response to a node's report. */
    allOthers
};

/** The figures of one node, or a reader's sum over several nodes. Sent a few times a second. */
struct PeerReport
{
    std::string node;
    /** Increases with each start of the node's process. */
    std::uint64_t incarnation = 0;
    /** Increases with each report of the process. */
    std::uint64_t sequence = 0;
    ReportScope scope = ReportScope::node;
    /** Number of nodes that the figures cover, counting those with recent reports. */
    std::uint32_t nodes = 1;
    /** The newest configuration revision that the node holds or that was announced to it, and the age, when the report
        was sent, of its proof for the configuration that it holds.
    */
    std::uint64_t configurationRevision = 0;
    Duration proofAge {};
    bool leaving = false;
    /** Whether the node has run long enough to know what the others admit. */
    bool isSettled = false;
    /** Whether the node can't connect to the replicas itself; see ReplicaPaths. */
    bool arePathsLost = false;
    /** Some nodes that can. */
    std::vector<RelayNodes::Endpoint> relayNodes {};
    /** Digest of the requests that the node stops because replicas crashed under them; zero if there are none. */
    std::uint64_t crashDigest = 0;
    /** The accounts that `admitted` covers completely; of the others it may include some. */
    AccountPart part;
    /** Use by client account. An account that is left out keeps its last reported total; if it is in `part`, it had no
        recent requests.
    */
    AdmittedByAccount admitted;
    /** Number of nodes whose demand (ServiceWork::requestsPerSecond) is in `work`. Not set by programs that leave it out of a
        reader's response: what such a report doesn't say is unknown, not zero.
    */
    std::optional<std::uint32_t> demandNodes {};
    /** Work by service. A reader's response only has the demand. */
    std::map<std::string, ServiceWork, std::less<>> work;
};

} // namespace snowrudder
