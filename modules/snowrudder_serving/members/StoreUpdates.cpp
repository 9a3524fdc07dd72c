#include "StoreUpdates.h"

#include "ReportTimes.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** The largest number of open queries: those of the last two seconds or so. */
constexpr auto maxOpenQueries = std::size_t { 12 };

/** The longest time for which one response makes its receiver keep missing entries. The next response arrives before it
    has passed and extends it. A reader that takes the store for unreachable because it alone is cut off can't make
    other nodes keep entries for longer than this.
*/
constexpr auto maxKeepMissing = Duration (600ms);

/** Closes an open query.

    @returns when it was sent, or nothing if no such query is open
*/
auto takeOpenQuery (StoreUpdateState& storeUpdates, std::uint64_t number) -> std::optional<TimePoint>
{
    const auto found =
        std::ranges::find (storeUpdates.openQueries, number, &StoreUpdateState::SentQuery::number);

    if (found == storeUpdates.openQueries.end())
        return {};

    const auto sent = found->sent;
    storeUpdates.openQueries.erase (found);
    return sent;
}

/** Marks a response as the begin of a snapshot, or as one that continues the requester's. */
auto addSnapshot (StoreUpdateResponse& response,
                  const StoreUpdateQuery& query,
                  const ReplicaDirectory& directory) -> void
{
    if (response.changes.revision == 0 || directory.isPartial)
        return;

    if (query.directoryRevision == 0)
        response.snapshotRevision = directory.revision;
    else if (query.snapshotRevision != 0 && directory.removalsCompleteAfter <= query.snapshotRevision)
        response.snapshotRevision = query.snapshotRevision;

    response.changes.isComplete = response.changes.isComplete || response.snapshotRevision != 0;
}

/** Removes the entries that a complete snapshot doesn't contain. */
auto removeUnlisted (StoreUpdateState& storeUpdates, ReplicaDirectory& directory, TimePoint now) -> void
{
    std::vector<std::string> unlisted;

    for (const auto& [key, entry] : directory.entries)
        if (! storeUpdates.snapshotKeys.contains (key))
            unlisted.push_back (key);

    for (const auto& key : unlisted)
        applyRemoval (directory, key, { directory.revision, false }, now);

    storeUpdates.snapshotKeys.clear();
}

/** Records that a response began or continued the snapshot that this node receives. */
auto recordSnapshot (StoreUpdateState& storeUpdates,
                     ReplicaDirectory& directory,
                     const StoreUpdateResponse& response) -> void
{
    for (const auto& entry : response.changes.entries)
        storeUpdates.snapshotKeys.insert (entry.key);

    for (const auto& removed : response.changes.removed)
        storeUpdates.snapshotKeys.erase (removed.key);

    if (response.snapshotRevision != 0)
    {
        const auto known = storeUpdates.snapshotRevision;
        storeUpdates.snapshotRevision =
            known == 0 ? response.snapshotRevision : std::min (known, response.snapshotRevision);
        // Removals before the snapshot are not in it.
        directory.removalsCompleteAfter =
            std::max (directory.removalsCompleteAfter, response.snapshotRevision);
    }
}

/** Records what a response says of the members.

    @returns whether it brought a newer summary
*/
auto recordMembers (StoreUpdateState& storeUpdates, StoreUpdateResponse& response, TimePoint sent) -> bool
{
    if (response.membersHash == 0)
        return false;

    storeUpdates.readerMembersHashAt = std::max (storeUpdates.readerMembersHashAt, sent);

    // A reader with an older list doesn't know of the latest changes.
    if (response.membersRevision >= storeUpdates.members.revision ||
        response.membersHash == storeUpdates.members.hash)
        storeUpdates.readerMembersHash = response.membersHash;

    if (! response.members || response.members->revision <= storeUpdates.members.revision)
        return false;

    storeUpdates.members = std::move (*response.members);
    return true;
}

/** @returns whether the responder has found, since its last response, that it had missed changes. */
auto hasMissedMore (StoreUpdateState& storeUpdates, const StoreUpdateResponse& response) -> bool
{
    const auto [known, isFirst] = storeUpdates.missedChanges.emplace (response.node, response.missedChanges);
    // A reader that has started again counts from 0.
    const auto hasMore = ! isFirst && known->second < response.missedChanges;
    known->second = response.missedChanges;
    return hasMore;
}

} // namespace

auto recordPeerConfigurationRevision (StoreUpdateState& storeUpdates,
                                      const ConfigurationState& configuration,
                                      std::uint64_t revision) -> bool
{
    if (revision <= storeUpdates.newestConfigurationRevision)
        return false;

    storeUpdates.newestConfigurationRevision = revision;
    return configuration.current && configuration.current->revision < revision;
}

auto newestKnownConfigurationRevision (const StoreUpdateState& storeUpdates,
                                       const ConfigurationState& configuration) -> std::uint64_t
{
    return std::max (configuration.current ? configuration.current->revision : 0,
                     storeUpdates.newestConfigurationRevision);
}

auto makeStoreUpdateQuery (StoreUpdateState& storeUpdates,
                           const ReplicaDirectory& directory,
                           std::string node,
                           TimePoint now) -> StoreUpdateQuery
{
    storeUpdates.openQueries.push_back ({ ++storeUpdates.lastQueryNumber, now });

    if (storeUpdates.openQueries.size() > maxOpenQueries)
        storeUpdates.openQueries.pop_front();

    return { std::move (node),
             storeUpdates.lastQueryNumber,
             directory.revision,
             {},
             storeUpdates.members.revision,
             storeUpdates.members.hash,
             storeUpdates.snapshotRevision };
}

auto makeStoreUpdateResponse (const StoreUpdateQuery& query,
                              const StoreUpdateState& storeUpdates,
                              const ConfigurationState& configuration,
                              const ReplicaDirectory& directory,
                              std::string node,
                              TimePoint now,
                              std::size_t mostChangeBytes) -> StoreUpdateResponse
{
    StoreUpdateResponse response;
    response.node = std::move (node);
    response.number = query.number;

    if (configuration.current)
    {
        response.configurationRevision = configuration.current->revision;
        response.proofAge = now - configuration.provenAt;
    }

    response.directoryAge = now - directoryProvenAt (storeUpdates);

    // A node that receives a snapshot itself has no complete directory to send.
    if (! storeUpdates.awaitsSnapshot)
        response.changes = changesAfter (directory, query.directoryRevision, mostChangeBytes);

    addSnapshot (response, query, directory);
    response.missedChanges = directory.missedChanges;
    const auto& members = storeUpdates.members;
    response.membersRevision = members.revision;
    response.membersHash = members.hash;

    // Nodes of small fleets list all members, since they send reports to all.
    if (members.hash != query.membersHash && members.revision > query.membersRevision &&
        reportsToReaders (members.count))
        response.members = members;

    if (now < directory.keepMissingUntil)
        response.keepMissing = std::min (directory.keepMissingUntil - now, maxKeepMissing);

    return response;
}

auto applyStoreUpdateResponse (StoreUpdateState& storeUpdates,
                               ConfigurationState& configuration,
                               ReplicaDirectory& directory,
                               StoreUpdateResponse response,
                               TimePoint now) -> StoreUpdateEffect
{
    StoreUpdateEffect effect;
    const auto sent = takeOpenQuery (storeUpdates, response.number);

    if (! sent)
        return effect;

    effect.isMatched = true;
    effect.members = recordMembers (storeUpdates, response, *sent);
    const auto provenAt = *sent - response.proofAge;
    const auto completeAt = *sent - response.directoryAge;
    effect.newerConfiguration =
        recordPeerConfigurationRevision (storeUpdates, configuration, response.configurationRevision);

    if (configuration.current && configuration.current->revision == response.configurationRevision)
        recordProof (configuration, provenAt, response.node);

    // Changes can't be applied before this node has a list of its own, and a responder that has just started has no
    // changes to send.
    if (response.changes.revision == 0 || (directory.revision == 0 && ! storeUpdates.awaitsSnapshot))
        return effect;

    // A reader relies on its own store calls, unless it alone is cut off.
    const auto isRecent = now - completeAt <= storeUpdateOverdueAge;
    const auto followsResponse =
        ! storeUpdates.isReader || now - storeUpdates.ownDirectoryProvenAt > storeUpdateOverdueAge;

    if (followsResponse && isRecent && response.changes.isComplete)
        directory.keepMissingUntil = now + response.keepMissing;

    // A reader that has just started doesn't know which entries were removed before, but the other reader does, so an
    // incomplete response alone is no reason to list: in a run with 30 restarts, half of 400 lists were made for such
    // responses.
    const auto lacksChanges = ! response.changes.isComplete &&
                              now - storeUpdates.provenAt > storeUpdateOverdueAge &&
                              ! storeUpdates.awaitsSnapshot;

    if (hasMissedMore (storeUpdates, response) || lacksChanges)
        storeUpdates.mustListReplicas = storeUpdates.mustListReplicas || ! storeUpdates.isReader;

    if (! response.changes.isComplete)
        return effect;

    // With the oldest changes only, the directory is as old as before. Changes don't complete one that lacks entries, other than
    // a snapshot.
    const auto completes = ! directory.isPartial || storeUpdates.awaitsSnapshot;

    if (! response.changes.hasMore && completes)
        storeUpdates.provenAt = std::max (storeUpdates.provenAt, completeAt);

    if (storeUpdates.awaitsSnapshot)
        recordSnapshot (storeUpdates, directory, response);

    // A response that brings nothing new belongs to an earlier query. If it were continued too, every repeated query would
    // add a chain of queries for the same changes.
    const auto hasMore = response.changes.hasMore;
    effect.hasMore = hasMore && response.changes.revision > directory.revision;
    effect.isResponderBusy = storeUpdates.awaitsSnapshot && now - *sent >= slowSnapshotResponse;
    effect.directory = applyChanges (directory, std::move (response.changes), now);

    if (storeUpdates.awaitsSnapshot && ! hasMore)
    {
        removeUnlisted (storeUpdates, directory, now);
        directory.isPartial = false;
        storeUpdates.awaitsSnapshot = false;
        storeUpdates.snapshotRevision = 0;
        effect.directory = true;
    }

    return effect;
}

auto beginSnapshot (StoreUpdateState& storeUpdates, ReplicaDirectory& directory) -> void
{
    storeUpdates.awaitsSnapshot = true;
    storeUpdates.snapshotRevision = 0;
    storeUpdates.snapshotKeys.clear();
    directory.revision = 0;
    // A response to an earlier query has changes only, and would pass for the whole snapshot.
    storeUpdates.openQueries.clear();
}

auto giveUpSnapshot (StoreUpdateState& storeUpdates, ReplicaDirectory& directory) -> void
{
    beginSnapshot (storeUpdates, directory);
    storeUpdates.awaitsSnapshot = false;
}

} // namespace snowrudder
