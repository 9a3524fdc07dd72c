#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace snowrudder
{

/** What a node knows of its own way to the replicas. A node that loses its links to all of them fails at each, while
    each of them is well. Free functions below update it; times are passed in.
*/
struct ReplicaPaths
{
    /** When bytes of a replica were last received on a direct connection. */
    TimePoint lastContact = longAgo;
    /** Replicas to which a new connection failed since one last carried an answer, and when it last did. */
    std::map<std::uint32_t, TimePoint> failures;
    /** Since when connections go through other nodes; empty while the node connects to replicas itself. */
    std::optional<TimePoint> lostSince;
    /** Whether another node has reached a replica since then that this node failed to reach. */
    bool isReachedByOthers = false;
    TimePoint lastProbe = longAgo;
    /** Whether a replica has accepted a probe since the last failure, while the paths are lost. */
    bool isProbeAccepted = false;
    /** When a request may next try a direct connection while the paths are lost, and how long the one after it waits. */
    TimePoint nextTrial = longAgo;
    Duration trialPause {};
};

/** Number of different replicas to which new connections must fail in a row before the node takes its paths for lost;
    all of them where fewer are listed.
*/
inline constexpr auto failuresToLosePaths = std::size_t { 3 };

/** Failures that are older than this say nothing about the paths of now. */
inline constexpr auto pathFailureLifetime = Duration (3s);

/** How long requests may wait without a byte from any replica before the node probes its paths. */
inline constexpr auto silenceBeforeProbe = Duration (500ms);

/** The least time between two rounds of probes, while the paths are in doubt and while they are lost. */
inline constexpr auto pathProbeInterval = Duration (300ms);

/** The time between two requests that try a direct connection while the paths are lost: doubled from the least to the
    longest. A network may accept a connection and reset it once a request is sent, which costs that request an attempt.
*/
inline constexpr auto minPathTrialPause = Duration (300ms);
inline constexpr auto maxPathTrialPause = Duration (2400ms);

/** How long an answer on a direct connection may be silent, while the paths are lost and other nodes reach replicas,
    before it is continued through another node. Callers give up a silent stream after two seconds at the earliest.
*/
inline constexpr auto silenceOnLostPath = Duration (700ms);

[[nodiscard]] inline auto arePathsLost (const ReplicaPaths& paths) -> bool
{
    return paths.lostSince.has_value();
}

/** Records that bytes of a replica were received on a direct connection.

    @param connectedAt  when the connection was made; empty for a connection that was kept from an earlier request.
                        Connections that were made before may live on while new ones fail
    @returns            whether the paths were lost until now
*/
auto recordContact (ReplicaPaths& paths, std::optional<TimePoint> connectedAt, TimePoint now) -> bool;

/** Records that a new direct connection to a replica failed, or ended before a byte of an answer.

    @param replica  from replicaHash()
    @param listed   number of replicas that are listed
    @returns        whether the paths are lost from now on
*/
auto recordPathFailure (ReplicaPaths& paths, std::uint32_t replica, std::size_t listed, TimePoint now)
    -> bool;

/** Records that another node has reached a replica for this one. It shows that lost paths are this node's own fault if this
    node has failed to connect to the same replica.

    @returns  whether this is the first time that it shows it
*/
auto recordReachedByOther (ReplicaPaths& paths, std::uint32_t replica) -> bool;

/** Records that another node could not reach a replica either: the failure is no evidence about this node's paths.

    @returns  whether the paths were taken for lost until now, and too few failures are left for it
*/
auto recordUnreachedByOther (ReplicaPaths& paths, std::uint32_t replica, std::size_t listed) -> bool;

/** Records that a replica accepted a probe and kept the connection open. While the paths are lost, it shows no more than that
    a request may try them: nothing was sent.

    @param connectedAt  when the connection was made
*/
auto recordAcceptedProbe (ReplicaPaths& paths, TimePoint connectedAt, TimePoint now) -> void;

/** @returns whether a request may try a direct connection now, while the paths are lost. */
[[nodiscard]] auto mayTryPaths (const ReplicaPaths& paths, TimePoint now) -> bool;

/** Records that a request tries a direct connection while the paths are lost. */
auto recordTrial (ReplicaPaths& paths, TimePoint now) -> void;

/** @returns whether to probe some replicas now. Records that it was done.

    @param longestSilence  how long the direct answer that has been silent longest has been so; zero if there is none
*/
auto shouldProbePaths (ReplicaPaths& paths, Duration longestSilence, TimePoint now) -> bool;

/** @returns whether an answer on a direct connection is continued through another node.

    @param lastBytes  when the request was sent, or bytes of the answer were last received
*/
auto isAnswerLost (const ReplicaPaths& paths, TimePoint lastBytes, TimePoint now) -> bool;

} // namespace snowrudder
