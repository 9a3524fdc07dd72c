#pragma once

#include "../node/ServingState.h"
#include "RefusalInquiry.h"

#include <string>
#include <string_view>

namespace snowrudder
{

/** @returns whether connections to replicas go through other nodes: this node's own paths are lost, and another node is
    known that reaches the replicas.
*/
auto connectsThroughOthers (const ServingState& state, TimePoint now) -> bool;

/** Records that a new direct connection to a replica failed, or ended before a byte of an answer. */
auto recordConnectFailure (ServingState& state, std::string_view replica, TimePoint now) -> void;

/** Records that another node could not connect to a replica either. */
auto recordOthersFailure (ServingState& state, std::string_view replica) -> void;

/** Records that bytes of a replica were received on a direct connection; see recordContact().

    @param reason  what showed it, for the log
*/
auto recordReplicaContact (ServingState& state,
                           std::optional<TimePoint> connectedAt,
                           TimePoint now,
                           std::string_view reason = "answer") -> void;

/** How a connection through another node came out. */
enum class RelayOutcome
{
    connected,
    /** A node that reaches other replicas could not connect to this one, or knows that it is leaving. */
    replicaUnreachable,
    /** The replica has asked the nodes that were tried for rest. */
    replicaResting,
    /** No node was found that would connect. */
    noRelay
};

/** A connection through another node, or why there is none. */
struct RelayedConnection
{
    RelayOutcome outcome = RelayOutcome::noRelay;
    /** The node that relays it, if it is connected. */
    std::optional<RelayNodes::Endpoint> node {};
};

/** Connects a call to a replica through another node.

    @param purpose  the identifier of the request that needs it, for the log
    @param end      until when the relayed connection may last
*/
auto connectThroughRelay (ServingState& state,
                          UpstreamCall& call,
                          const ReplicaInfo& replica,
                          std::string_view purpose,
                          TimePoint end) -> Task<RelayedConnection>;

/** Asks other nodes whether they reach an address that refuses or closes this node's connections; see RefusalInquiry.
    A node's own failure is no evidence against a replica that others reach.
*/
auto askOthersAbout (ServingState& state, std::string endpoint, EndpointState own) -> Task<EndpointState>;

/** @returns whether another replica accepts a connection of this node: of the same service, where others of it are listed,
    since the paths to one service may be cut alone.
*/
auto reachesOtherReplica (ServingState& state, std::string replica) -> Task<bool>;

/** Probes the paths where that is due, and cancels answers that have to go on through another node. Call several times a
    second.
*/
auto checkPaths (ServingState& state, TimePoint now) -> void;

} // namespace snowrudder
