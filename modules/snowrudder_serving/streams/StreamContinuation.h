#pragma once

#include "StreamOriginTable.h"
#include "VersionHistory.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** A node's response about a stream: what it knows, or nothing. */
using StreamResponse = std::optional<KnownStream>;

/** What the nodes that were asked about a stream responded. */
struct StreamInquiry
{
    /** The number of nodes asked. */
    std::size_t asked = 0;
    std::vector<StreamResponse> responses;
};

/** @returns whether further responses can't change what is known of a stream: all nodes have responded, or as many as are
    told of a stream agree on it.
*/
auto isConclusive (const StreamInquiry& inquiry) -> bool;

/** @returns whether the node that asked is in step with the others as far as a stream goes: one of them responded, unless there are
    none, and none has seen that the stream's replica has changed its version. A node that nobody answers can't tell an outage of
    the state store from its own.
*/
auto isInStep (const StreamInquiry& inquiry) -> bool;

/** @returns what the responses say together; conflicting if they differ. */
auto combine (const StreamInquiry& inquiry) -> StreamResponse;

/** Where the version of a stream that a caller takes up was learnt. */
enum class OriginSource
{
    none,
    ownRecord,
    otherNode,
    /** The service has had no other version for as long as a stream can be taken up. */
    onlyVersion
};

/** Whether a stream that a caller takes up goes on. */
enum class ContinuationOutcome
{
    goesOn,
    /** It isn't known which version began the stream. */
    unknown,
    /** Nodes recorded different origins, or the replica that began it has been listed with two versions. */
    ambiguous,
    /** No replica of the version is listed any more. */
    versionGone,
    /** The list of replicas is so old that a replica may have started again with another version. */
    listTooOld
};

/** The age from which the list of replicas no longer tells their versions. A node that reaches the store proves its list within
    2.55 s (see maxLeavingDelay), and the entry of a replica that ended lapses after three heartbeats, more than 3 s.
*/
inline constexpr auto continuationListAge = Duration (2600ms);

/** @returns the names of the values in the log. */
auto toString (OriginSource source) -> std::string_view;
auto toString (ContinuationOutcome outcome) -> std::string_view;

/** The decision on a stream that a caller takes up. */
struct Continuation
{
    ContinuationOutcome outcome = ContinuationOutcome::unknown;
    /** The service and the version at which it goes on, as far as they are known. */
    ServiceVersion at;
    OriginSource source = OriginSource::none;
};

/** The data on which that decision depends. */
struct ContinuationInput
{
    /** The services of the route. */
    std::vector<std::string> services;
    /** What is known of the stream, and from where. */
    StreamResponse stream;
    OriginSource source = OriginSource::none;
    /** Whether the route's streams can only be taken up within `streamMemory`. */
    bool isWithinMemory = true;
    /** As of when the directory of replicas is known to be complete. */
    TimePoint provenAt {};
};

/** Decides whether a stream goes on, and at which version. What two versions write doesn't fit together, so that it goes on
    only if the version that began it is certain.
*/
auto decideContinuation (const ContinuationInput& input,
                         const VersionHistory& history,
                         const VersionRegistry& registry,
                         TimePoint now) -> Continuation;

/** How long a stream waits, before it goes on, for a proof of the list of replicas that covers the connections on which it began
    and goes on. Readers prove the list every 0.9 s, and other nodes ask them every 0.2 s.
*/
inline constexpr auto versionProofWait = Duration (1200ms);

/** What is known of the versions of the replicas that began a stream and go on with it. */
enum class VersionProof
{
    /** They have the versions that they are listed with. */
    known,
    /** One of them has been listed with another version. */
    changed,
    /** The one that began the stream may have started again, with another version, before it did so. */
    beginUnproven,
    /** The one that goes on may have started again, with another version, since the list was proven. */
    targetUnproven,
    /** The list was so old when the first one's part ended that this one may have started again unseen before it began. What is
        listed since then says nothing of it.
    */
    listTooOld
};

/** @returns the name of the value in the log. */
auto toString (VersionProof proof) -> std::string_view;

/** The data on which that depends. */
struct VersionProofInput
{
    /** As of when the list is known to be complete. */
    TimePoint provenAt {};
    /** When the stream began, or when the connection was made on which it did. */
    TimePoint boundAt {};
    /** When the connection was made to the replica that goes on: the process at its end is no younger. */
    TimePoint connectedAt {};
    /** The replica that goes on, and the version by which it was chosen. */
    std::string_view replica;
    std::string_view version;
    /** The replica that began the stream, if it is known: from shortReplicaHash(). */
    std::optional<std::uint16_t> firstReplica;
    /** Whether the caller takes the stream up, in place of a node that goes on with it within its answer. */
    bool isTakenUp = false;
    /** Where a node goes on by itself: when the first replica's part ended, and as of when the list was proven then. */
    TimePoint endedAt {};
    TimePoint provenAtEnd {};
    /** Whether the state store responds to this node, so that a proof is to be expected. */
    bool isStoreReached = true;
    /** Whether nothing is known of the stream but that its service has a single version. */
    bool isOnlyVersion = false;
    /** When the stream began to wait for a proof. */
    TimePoint waitingSince {};
};

/** @returns what is known of the versions. A replica may start again under its name with another version, in less time than the
    list takes to show it; only a proof of the list that is younger than the connections to both rules it out.
*/
auto proveVersions (const VersionProofInput& input, const VersionHistory& history, TimePoint now)
    -> VersionProof;

/** @returns how long a stream waits for a better proof. Where the state store doesn't respond to this node, others may still give one,
    until the list is so old that they have none either.
*/
auto proofWait (const VersionProofInput& input, VersionProof proof) -> Duration;

/** @returns whether a stream goes on, once it has waited for a better proof. While the state store is away for a moment, streams go
    on by a list that was proven shortly before, but only where the version that began them was recorded.
*/
auto maySendOn (const VersionProofInput& input, VersionProof proof, TimePoint now) -> bool;

/** @returns what a node that is asked knows of a stream: conflicting if it has seen another version at the replica that began it.
*/
auto knownStream (const StreamOriginTable& streams,
                  const VersionHistory& history,
                  StreamKey key,
                  TimePoint now) -> StreamResponse;

} // namespace snowrudder
