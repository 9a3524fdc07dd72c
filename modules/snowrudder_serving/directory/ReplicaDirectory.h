#pragma once

#include "snowrudder_routing/snowrudder_routing.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snowrudder
{

/** Replicas register in the store within their first two heartbeats (1.2 s each); the directory is incomplete before. */
inline constexpr auto maxRegistrationTime = Duration (2500ms);

/** A replica's own entry in the store. */
struct DirectoryEntry
{
    /** The key of the item, which is different for each incarnation of a replica. */
    std::string key;
    ReplicaInfo info;
    /** Whether the store says that it is leaving. */
    bool isLeaving = false;
    /** Whether an answer showed that it is leaving; see recordShownLeaving(). It isn't part of the store's entry. */
    bool isShownLeaving = false;
    /** Whether the platform may reclaim it at short notice. */
    bool isReclaimable = false;
    /** The store's revision of the entry. */
    std::uint64_t revision = 0;
    /** The revision since which at most `isLeaving` has changed: a node that has all changes up to it knows the rest.
     */
    std::uint64_t contentRevision = 0;
    /** Whether the store no longer has the entry, but it may be written again because it may have expired in an outage
        of the store.
    */
    bool isMissing = false;
};

/** @returns whether a replica gets no new requests and doesn't count as one that serves. */
inline auto leaves (const DirectoryEntry& entry) -> bool
{
    return entry.isLeaving || entry.isShownLeaving;
}

/** The removal of an entry. */
struct EntryRemoval
{
    /** The store's revision of the removal. */
    std::uint64_t revision = 0;
    /** Whether the entry still exists but can't be parsed, so that it is not kept as missing. */
    bool isUnreadable = false;
    /** DirectoryEntry::contentRevision of the entry that was removed; none if it wasn't known. */
    std::optional<std::uint64_t> contentRevision {};
    TimePoint recordedAt {};
};

/** This node's copy of the replicas' entries in the store. */
struct ReplicaDirectory
{
    std::map<std::string, DirectoryEntry> entries;
    /** The store's revision up to which all changes are applied. */
    std::uint64_t revision = 0;
    /** Until when entries that the store no longer has are kept as missing, during and after an outage of the store. */
    TimePoint keepMissingUntil {};
    /** Removals by key, including entries that can't be parsed any more; those recorded within `removalsKept`. */
    std::map<std::string, EntryRemoval> removals;
    /** Keys of the removals in the order in which they were recorded. */
    std::deque<std::pair<TimePoint, std::string>> removalTimes;
    /** Keys of the entries and removals by their revisions, so that the cost of finding the changes after a revision
        depends on their number only. Some keys have changed again since.
    */
    std::multimap<std::uint64_t, std::string> keysByRevision;
    /** The replicas' names by the keys of the entries that changed since takeListChanges() was last called. */
    std::map<std::string, std::string> unlistedChanges;
    /** `removals` contains all removals after this revision. */
    std::uint64_t removalsCompleteAfter = 0;
    /** Whether the last list after a gap wasn't whole, so that entries may be missing that the store has, and others may be
        here that it no longer has.
    */
    bool isPartial = false;
    /** When answers last showed that incarnations are leaving, by incarnationHash(). It outlives their entries, which may
        lapse and be written again.
    */
    std::map<std::uint64_t, TimePoint> shownLeaving;
    /** Number of lists that contained changes which earlier watches should have returned but did not. */
    std::uint64_t missedChanges = 0;

    /** A node that has received no changes for this long has to list all entries. Nodes query them five times a second; a
        number of removals instead of a time would be used up at once when a service of thousands of replicas shrinks.
    */
    static constexpr auto removalsKept = Duration (20s);

    /** How long it is known of an incarnation without an entry that it is leaving. An entry that lapsed in an outage of the
        store is written again within seconds of its return.
    */
    static constexpr auto shownLeavingKept = Duration (10min);
};

/** An entry that the store no longer has, or that can't be parsed. */
struct RemovedEntry
{
    std::string key;
    EntryRemoval removal;
};

/** Entries as they were listed. */
struct ListedEntries
{
    std::vector<DirectoryEntry> entries;
    std::vector<RemovedEntry> unreadable;
};

/** The change of an entry that the receiver is known to have: it is leaving, or was removed. It is some eight times as
    small as the entry, so that a reader can tell all nodes of its failure domain of thousands of replicas that leave.
*/
struct KnownEntryChange
{
    /** From hashBytes(). */
    std::uint64_t keyHash = 0;
    std::uint64_t revision = 0;
    bool isRemoved = false;
};

/** Changes of a directory after one revision of the store. */
struct DirectoryChanges
{
    /** The revision up to which the changes are included. */
    std::uint64_t revision = 0;
    /** Whether all changes since the requested revision are known; otherwise older removals may be missing. */
    bool isComplete = false;
    /** Whether there are more changes after `revision`. */
    bool hasMore = false;
    std::vector<DirectoryEntry> entries;
    std::vector<RemovedEntry> removed;
    std::vector<KnownEntryChange> known;
};

/** How long entries that expired in an outage of the store are kept after it. The platform guarantees that they are
    written again within 2 s; the rest allows for network delay.
*/
inline constexpr auto lapseGracePeriod = Duration (2200ms);

/** Why the entries are listed. */
enum class ListReason
{
    /** Changes may have been missed, so that replicas may have been added and removed unnoticed. */
    afterGap,
    /** The watches should have returned all changes; the list only verifies that. */
    check
};

/** A list of the entries while its pages are applied. */
struct DirectoryList
{
    ListReason reason = ListReason::afterGap;
    /** The store's revision at the time of the first page. */
    std::uint64_t revision = 0;
    /** The keys so far, including those of entries that can't be parsed. */
    std::set<std::string> present {};
    /** How many entries were not logged each by itself. */
    std::size_t unlogged = 0;
    /** Whether there are changes that the watches before should have returned. */
    bool isMissed = false;
};

/** Applies the entries of one page of a list. Nothing is removed but what the page shows as unreadable. */
auto applyPage (ReplicaDirectory& directory, DirectoryList& list, ListedEntries page, TimePoint now) -> void;

/** Ends a list of which all pages that there are were applied. Entries that are not in it are removed, or marked as missing
    until `keepMissingUntil`.
*/
auto endList (ReplicaDirectory& directory, const DirectoryList& list, TimePoint now) -> void;

/** Ends a list that isn't whole. Nothing is removed. After a gap, changes are watched from its beginning on; after a check they are
    watched from where they were before.
*/
auto endPartialList (ReplicaDirectory& directory, const DirectoryList& list) -> void;

/** Applies a whole list in one. */
auto applyList (ReplicaDirectory& directory,
                ListedEntries listed,
                std::uint64_t revision,
                TimePoint now,
                ListReason reason = ListReason::afterGap) -> void;

/** Adds or updates an entry. Entries that are older than the known one, or from an earlier incarnation, are ignored. */
auto applyEntry (ReplicaDirectory& directory, DirectoryEntry entry) -> void;

/** Removes an entry, or marks it as missing until `keepMissingUntil`. Removals that are older than the entry are
    ignored.
*/
auto applyRemoval (ReplicaDirectory& directory, const std::string& key, EntryRemoval removal, TimePoint now)
    -> void;

/** @returns the changes after a revision, up to that of the directory. Where they exceed a size, these are the oldest ones, up to the revision in the
    result; those of one revision are never divided.

    @param mostBytes  the approximate size of the changes in a message
*/
auto changesAfter (const ReplicaDirectory& directory, std::uint64_t revision, std::size_t mostBytes)
    -> DirectoryChanges;

/** Applies changes received from another node.

    @returns whether there were any
*/
auto applyChanges (ReplicaDirectory& directory, DirectoryChanges changes, TimePoint now) -> bool;

/** Records that an answer showed that an incarnation of a replica is leaving: its own statement, or that another replica
    has its address. This holds until the incarnation ends, whatever the store says of it.

    @param incarnation  from incarnationHash()
    @returns            whether this was not known
*/
auto recordShownLeaving (ReplicaDirectory& directory, std::uint64_t incarnation, TimePoint now) -> bool;

/** @returns the name of the replica with an incarnation; empty if it has no entry. */
auto nameOf (const ReplicaDirectory& directory, std::uint64_t incarnation) -> std::string;

/** Removes the entries that are still missing after `keepMissingUntil`.

    @returns whether there were any
*/
auto dropMissing (ReplicaDirectory& directory, TimePoint now) -> bool;

/** Changes of the entries, as input for ReplicaTable::applyChanges(). */
struct ListChanges
{
    std::vector<ListedReplica> changed;
    /** Names of replicas. */
    std::vector<std::string> removed;
};

/** @returns the changes since the last call. */
auto takeListChanges (ReplicaDirectory& directory) -> ListChanges;

} // namespace snowrudder
