#pragma once

#include "../configuration/ConfigurationState.h"
#include "../configuration/ConfigurationTransfer.h"
#include "../directory/ReplicaDirectory.h"
#include "Readers.h"
#include "SharedLoads.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace snowrudder
{

/** Sent to a reader by a node that doesn't read the state store itself, or that can't reach it. */
struct StoreUpdateQuery
{
    std::string node;
    /** Identifies the query; the response repeats it. */
    std::uint64_t number = 0;
    /** The store revision up to which the sender has all changes of replicas. */
    std::uint64_t directoryRevision = 0;
    /** Replica loads that the sender observed since its last query. */
    std::vector<SharedLoad> loads;
    /** MembersSummary::revision and `hash` of the sender's latest one. */
    std::uint64_t membersRevision = 0;
    std::uint64_t membersHash = 0;
    /** StoreUpdateState::snapshotRevision of the sender. */
    std::uint64_t snapshotRevision = 0;
};

/** A reader's response to a StoreUpdateQuery: its current view of the state store. */
struct StoreUpdateResponse
{
    std::string node;
    std::uint64_t number = 0;
    /** Revision of the responder's configuration, and the age of its proof that this revision was the newest. */
    std::uint64_t configurationRevision = 0;
    Duration proofAge {};
    /** Age of the responder's replica directory. It may exceed `proofAge`, since a node also accepts proofs of the
        configuration from other nodes.
    */
    Duration directoryAge {};
    DirectoryChanges changes;
    /** If `changes` begin or continue a snapshot of the directory: the revision as of which what the requester then has
        was complete; otherwise 0.
    */
    std::uint64_t snapshotRevision = 0;
    /** ReplicaDirectory::missedChanges of the responder's directory. */
    std::uint64_t missedChanges = 0;
    /** How long the receiver is to keep entries that go missing, since they may return. */
    Duration keepMissing {};
    /** Recent loads of replicas, whichever node observed them. */
    std::vector<SharedLoad> loads;
    /** MembersSummary::revision and `hash` of the responder's latest one; zero while there is none. */
    std::uint64_t membersRevision = 0;
    std::uint64_t membersHash = 0;
    /** The responder's summary of the members, if it is newer than the requester's. */
    std::optional<MembersSummary> members;
    std::vector<Rollout> rollouts;
    /** Whether the responder has read the operators' roll-out orders, so that an empty `rollouts` means that there are
        none.
    */
    bool areRolloutsKnown = false;
};

/** A node's record of the store updates that it received from readers, and of its open queries. */
struct StoreUpdateState
{
    struct SentQuery
    {
        std::uint64_t number = 0;
        TimePoint sent {};
    };

    /** Whether this node reads the store itself, responds to the queries of the other nodes of its failure domain, and
        collects their reports.
    */
    bool isReader = true;
    /** Hash of the members as this node last listed them, and as a reader did according to its last response; zero
        where there is none.
    */
    std::uint64_t membersHash = 0;
    std::uint64_t readerMembersHash = 0;
    /** When this node last listed the members. */
    TimePoint membersListedAt = longAgo;
    /** Number of nodes of this node's failure domain, this one included, as it last listed them. */
    std::optional<std::size_t> domainMembers;
    /** Summary of this node's own list, or a newer one that a reader sent. */
    MembersSummary members;
    /** When the query was sent whose response gave `readerMembersHash`. */
    TimePoint readerMembersHashAt = longAgo;
    /** The latest time as of which the store itself responded to this node about the configuration. */
    TimePoint ownProvenAt = longAgo;
    /** The latest time as of which this node's own calls to the store proved its directory of replicas complete. */
    TimePoint ownDirectoryProvenAt = longAgo;
    /** The latest time up to which readers sent this node all changes of replicas. */
    TimePoint provenAt = longAgo;
    /** The newest configuration revision that any node has announced. */
    std::uint64_t newestConfigurationRevision = 0;
    /** Whether the replicas must be listed at the store again, since readers can't supply all missed changes. */
    bool mustListReplicas = true;
    /** Whether this node, which has just started, receives all replicas from readers instead of listing them. */
    bool awaitsSnapshot = false;
    /** While it does, the store revision as of which the replicas that it has were complete: the oldest among those of
        the readers that sent them; 0 before the first. A reader that knows all removals since then may send the rest.
    */
    std::uint64_t snapshotRevision = 0;
    /** While it does, the keys of the entries that it has received. */
    std::set<std::string> snapshotKeys;
    /** Starts at random, so that a response to a process that ran before on this VM matches no query of this one. 32 bits
        make a collision unlikely enough and keep the messages short.
    */
    std::uint64_t lastQueryNumber = randomNumber() >> 32U;
    /** The latest queries without a response so far. */
    std::deque<SentQuery> openQueries;
    /** Last received value of StoreUpdateResponse::missedChanges, by node. */
    std::map<std::string, std::uint64_t, std::less<>> missedChanges;
};

/** How often loads of replicas are sent and store updates are queried. A replica of a model begins four requests a
    second.
*/
inline constexpr auto storeUpdateInterval = Duration (200ms);

/** The longest time from a query for store updates to its response: the network, and the event loops of a reader and a
    follower on a tenth of a core.
*/
inline constexpr auto storeUpdateTransitTime = Duration (100ms);

/** The age from which store updates no longer replace reading the store. A reader confirms its configuration every
    0.9 s, and a node queries its two readers in turn every 0.2 s, so updates stay younger than this while one of the
    readers is alive. The limit is below 2 s because a leaving replica must receive no requests after that time.
*/
inline constexpr auto storeUpdateAgeLimit = Duration (1800ms);

/** The age of store updates from which a node also queries readers of other failure domains. */
inline constexpr auto storeUpdateOverdueAge = Duration (1300ms);

/** @returns the latest time as of which this node's directory of replicas is known to be complete. That is a fact of its
    own: a node whose calls about the configuration are answered may be unable to read the replicas.
*/
inline auto directoryProvenAt (const StoreUpdateState& storeUpdates) -> TimePoint
{
    return std::max (storeUpdates.ownDirectoryProvenAt, storeUpdates.provenAt);
}

/** @returns whether a node must query the store itself. */
inline auto mustQueryStore (const StoreUpdateState& storeUpdates, TimePoint now) -> bool
{
    return storeUpdates.isReader || now - storeUpdates.provenAt > storeUpdateAgeLimit;
}

/** @returns whether a node gets the configuration, the replicas and the members from its readers, also as it starts. In a
    failure domain of this size the store is called for them only as a last resort: if all nodes read what they lack at the
    store, their responses would fill its link, time out, and be asked for again.
*/
inline auto reliesOnReaders (const StoreUpdateState& storeUpdates) -> bool
{
    return ! storeUpdates.isReader && storeUpdates.domainMembers &&
           *storeUpdates.domainMembers > maxFullyListedDomain;
}

/** @returns when a node must check its configuration at the store, unless it receives a younger proof before. The check
    is due at exactly this time: left to the next regular check, the response could arrive up to one check interval
    later, after the proof has expired.
*/
inline auto proofOverdueAt (const StoreUpdateState& storeUpdates, const ConfigurationState& configuration)
    -> TimePoint
{
    // A node may receive proofs long before it has all replicas.
    if (reliesOnReaders (storeUpdates))
        return configuration.provenAt + storeUpdateAgeLimit;

    const auto updatedAt = std::max (storeUpdates.provenAt, storeUpdates.ownProvenAt);
    return std::min (updatedAt, configuration.provenAt) + storeUpdateAgeLimit;
}

/** How long a reader's hash of the members is valid. Readers list the members every 2 s. */
inline constexpr auto readerMembersValidity = Duration (3s);

/** How long a node relies on summaries of the members before it lists them again. Only announcements of prompts need the
    addresses of all members.
*/
inline constexpr auto membersSummaryValidity = Duration (20s);

/** @returns whether the members must be listed at the store. Readers always list them; other nodes do if a reader's
    list differs from their own and it has not sent its summary, or no reader has sent its hash recently. In a fleet of
    295 nodes that all listed every 2 s, the lists made up 1,000 calls, weighted by their price, in 66 s, and a fifth of
    all bytes.
*/
inline auto mustListMembers (const StoreUpdateState& storeUpdates, TimePoint now) -> bool
{
    if (storeUpdates.isReader || storeUpdates.membersHash == 0 ||
        now - storeUpdates.readerMembersHashAt > readerMembersValidity)
        return true;

    if (reliesOnReaders (storeUpdates) || storeUpdates.readerMembersHash == storeUpdates.membersHash)
        return false;

    const auto hasSummary = storeUpdates.members.hash == storeUpdates.readerMembersHash;
    return ! hasSummary || now - storeUpdates.membersListedAt > membersSummaryValidity;
}

/** @returns whether a node must watch the replicas at the store itself. A list of its own is valid for as long as a
    store update: nodes that start together know their readers long before they receive the first response from
    them.

    @param listedAt  when this node requested the list of replicas that it holds
*/
inline auto mustWatchReplicas (const StoreUpdateState& storeUpdates, TimePoint listedAt, TimePoint now)
    -> bool
{
    return mustQueryStore (storeUpdates, now) &&
           (storeUpdates.isReader || now - listedAt > storeUpdateAgeLimit);
}

/** @returns whether the configuration must be checked at the store. Before the first configuration exists, nodes also
    rely on their readers: in a fleet of 77 nodes without changes, this and mustWatchReplicas() reduced the store calls,
    weighted by their price, from 3,040 and 3,159 to 2,548.
*/
inline auto mustCheckConfiguration (const StoreUpdateState& storeUpdates,
                                    const ConfigurationState& configuration,
                                    TimePoint now) -> bool
{
    const auto held = configuration.current ? configuration.current->revision : 0;
    const auto isOverdue = configuration.current && now >= proofOverdueAt (storeUpdates, configuration);
    const auto isProvedByReaders = configuration.current && reliesOnReaders (storeUpdates);
    const auto mustQuery = ! isProvedByReaders && mustQueryStore (storeUpdates, now);
    return mustQuery || isOverdue || held < storeUpdates.newestConfigurationRevision;
}

/** @returns whether an announced configuration may be read by a call whose response may be seconds old. A node that
    relies on readers knows the announced revision and so detects a stale response; nodes that are the first to learn of
    a change need the newest response. Of 522 such responses 447 were recent enough, and they cost a tenth of the price.
*/
inline auto mayReadStaleConfiguration (const StoreUpdateState& storeUpdates,
                                       const ConfigurationState& configuration,
                                       TimePoint now) -> bool
{
    const auto isOverdue = now >= proofOverdueAt (storeUpdates, configuration);
    return mustCheckConfiguration (storeUpdates, configuration, now) &&
           ! mustQueryStore (storeUpdates, now) && ! isOverdue;
}

/** @returns the configuration that this node lacks, if it lacks one. One that it has refused is not asked for again. */
inline auto configurationNeed (const StoreUpdateState& storeUpdates, const ConfigurationState& configuration)
    -> std::optional<ConfigurationNeed>
{
    const auto held = configuration.current ? configuration.current->revision : 0;
    const auto newest = storeUpdates.newestConfigurationRevision;
    const auto relies = reliesOnReaders (storeUpdates);

    if (newest > std::max (held, configuration.refusedRevision))
        return ConfigurationNeed { held, newest, storeUpdates.isReader, relies };

    if (! configuration.current && configuration.refusedRevision == 0)
        return ConfigurationNeed { 0, 0, ! relies, relies };

    return {};
}

/** @returns when a reader checks the configuration next: at regular times of its own, also after a check that an
    announcement caused. Otherwise all readers would check at the same moments from the first announcement on, and the
    next configuration would be found an interval late.

    @param last  the latest of these times, or any time before now
*/
inline auto nextRegularCheck (TimePoint last, Duration interval, TimePoint now) -> TimePoint
{
    const auto passed = std::max (now - last, Duration::zero()) / interval;
    return last + (passed + 1) * interval;
}

/** @returns whether the configuration must be checked at the store now. One that other nodes have comes from them; a node
    that isn't a reader asks the store for it only if it didn't come in time, in a large failure domain also as it starts.
*/
inline auto mustReadConfiguration (const StoreUpdateState& storeUpdates,
                                   const ConfigurationState& configuration,
                                   const ConfigurationTransfer& transfer,
                                   TimePoint now) -> bool
{
    const auto need = configurationNeed (storeUpdates, configuration);
    const auto mustCheck = mustCheckConfiguration (storeUpdates, configuration, now);

    if (! need || storeUpdates.isReader)
        return mustCheck;

    if (need->reliesOnReaders)
        return isStoreReadDue (transfer, now);

    const auto isProofDue = mustQueryStore (storeUpdates, now) ||
                            (configuration.current && now >= proofOverdueAt (storeUpdates, configuration));
    return isProofDue || (mustCheck && isStoreReadDue (transfer, now));
}

/** Records the configuration revision that another node announced.

    @returns whether it is newer than this node's and than all revisions announced before
*/
auto recordPeerConfigurationRevision (StoreUpdateState& storeUpdates,
                                      const ConfigurationState& configuration,
                                      std::uint64_t revision) -> bool;

/** @returns the newest configuration revision that this node holds or that was announced to it; 0 if there is none.
    Reports carry this revision instead of the node's own: a reader that the store refuses learns of a newer
    configuration from other nodes but can't read it, while their changes of replicas keep its store updates fresh. Its
    followers, which received only the reader's own revision, queried nobody else, and one kept an old configuration for
    4.7 s.
*/
auto newestKnownConfigurationRevision (const StoreUpdateState& storeUpdates,
                                       const ConfigurationState& configuration) -> std::uint64_t;

/** How long a node that receives a snapshot waits for a response to its latest query before it asks another reader. A
    reader of a small VM that sends a part to each of `nodesPerReader` nodes needs 80 ms for them at its link of 20 Mbit/s.
*/
inline constexpr auto snapshotResponseTimeout = Duration (250ms);

/** The response time from which a node that receives a snapshot asks another reader for the next part, so that the nodes
    spread over the readers by their load. Without load, a response takes two event loops' delays of at most 20 ms.
*/
inline constexpr auto slowSnapshotResponse = Duration (60ms);

/** @returns whether a node that queries its readers at regular intervals must do so now. While it receives a snapshot, it
    asks for the next part as it receives one; further queries would only fill the readers' links with the same parts.
*/
inline auto mustQueryReader (const StoreUpdateState& storeUpdates, TimePoint now) -> bool
{
    return ! storeUpdates.awaitsSnapshot || storeUpdates.openQueries.empty() ||
           now - storeUpdates.openQueries.back().sent >= snapshotResponseTimeout;
}

/** @returns the next query, recorded as open and sent now. */
auto makeStoreUpdateQuery (StoreUpdateState& storeUpdates,
                           const ReplicaDirectory& directory,
                           std::string node,
                           TimePoint now) -> StoreUpdateQuery;

/** The approximate size of the changes in one response that continues a snapshot, which holds no loads. */
inline constexpr auto maxSnapshotBytesPerResponse = std::size_t { 6 * 1024 };

/** The approximate size of all changes in one response. The rest of a datagram of 8 KB holds loads and roll-outs. */
inline constexpr auto maxChangeBytesPerResponse = std::size_t { 4 * 1024 };

/** @returns the response to a query, without loads and roll-outs.

    @param mostChangeBytes  the approximate size of all changes of replicas, unless those of one revision exceed it
*/
auto makeStoreUpdateResponse (const StoreUpdateQuery& query,
                              const StoreUpdateState& storeUpdates,
                              const ConfigurationState& configuration,
                              const ReplicaDirectory& directory,
                              std::string node,
                              TimePoint now,
                              std::size_t mostChangeBytes = maxChangeBytesPerResponse) -> StoreUpdateResponse;

/** Starts to receive all replicas from readers. Entries that this node has are used until the snapshot is complete. */
auto beginSnapshot (StoreUpdateState& storeUpdates, ReplicaDirectory& directory) -> void;

/** Stops to receive them before all have arrived. Until this node has listed them it has no complete directory to send to
    others.
*/
auto giveUpSnapshot (StoreUpdateState& storeUpdates, ReplicaDirectory& directory) -> void;

/** What a response changed. */
struct StoreUpdateEffect
{
    /** Whether the response answered an open query; it changed nothing otherwise. */
    bool isMatched = false;
    bool directory = false;
    bool newerConfiguration = false;
    /** Whether the responder has more changes of replicas, to be queried at once. */
    bool hasMore = false;
    /** Whether these had better be queried at another reader. */
    bool isResponderBusy = false;
    /** Whether it has sent a newer summary of the members. */
    bool members = false;
};

/** Applies a response to one of this node's open queries; others are ignored. Ages are counted from the time at which
    the query was sent, so that a response delayed by the network or by a paused process is only taken for older than it
    is.
*/
auto applyStoreUpdateResponse (StoreUpdateState& storeUpdates,
                               ConfigurationState& configuration,
                               ReplicaDirectory& directory,
                               StoreUpdateResponse response,
                               TimePoint now) -> StoreUpdateEffect;

} // namespace snowrudder
