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

} // namespace snowrudder
