#include "ReplicaDirectory.h"

#include <algorithm>
#include <set>

namespace snowrudder
{

namespace
{

auto logSeen (const DirectoryEntry& entry) -> void
{
    LogLine (entry.isLeaving ? "replica_leaving" : "replica_seen")
        .with ("replica", entry.info.name)
        .with ("service", entry.info.service)
        .with ("endpoint", entry.info.endpoint)
        .with ("failure_domain", entry.info.failureDomain)
        .with ("reclaimable", entry.isReclaimable ? "yes" : "no")
        .with ("born", entry.info.born)
        .with ("revision", entry.revision)
        .info();
}

auto logRemoved (const DirectoryEntry& entry, std::string_view reason) -> void
{
    LogLine ("replica_gone").with ("replica", entry.info.name).with ("reason", reason).info();
}

/** Marks an entry that the store no longer has as missing, if its lease may only have lapsed in an outage of the store.

    @returns whether the entry is to be removed at once instead
*/
auto isDroppedWhenMissing (ReplicaDirectory& directory, DirectoryEntry& entry, TimePoint now) -> bool
{
    if (now < directory.keepMissingUntil && ! entry.isLeaving)
    {
        entry.isMissing = true;
        return false;
    }

    return true;
}

/** Records a removal for nodes that query changes. Only the newest `maxRemovals` are kept. */
auto recordRemoval (ReplicaDirectory& directory, const std::string& key, EntryRemoval removal) -> void
{
    auto& known = directory.removals[key];

    if (removal.revision >= known.revision)
        known = removal;

    if (directory.removals.size() <= ReplicaDirectory::maxRemovals)
        return;

    const auto oldest = std::ranges::min_element (
        directory.removals, {}, [] (const auto& removed) { return removed.second.revision; });
    directory.removalsCompleteAfter = std::max (directory.removalsCompleteAfter, oldest->second.revision);
    directory.removals.erase (oldest);
}

/** @returns whether an earlier watch should have returned a listed entry but did not. */
auto wasMissed (const ReplicaDirectory& directory, const DirectoryEntry& listed) -> bool
{
    const auto known = directory.entries.find (listed.key);
    const auto isNew = known == directory.entries.end() || known->second.revision < listed.revision;
    return isNew && listed.revision <= directory.revision;
}

} // namespace

auto applyEntry (ReplicaDirectory& directory, DirectoryEntry entry) -> void
{
    const auto known = directory.entries.find (entry.key);

    // The entry had expired and was written again.
    if (const auto removal = directory.removals.find (entry.key);
        removal != directory.removals.end() && removal->second.revision < entry.revision)
        directory.removals.erase (removal);

    if (known == directory.entries.end())
    {
        logSeen (entry);
        auto key = entry.key;
        directory.entries.emplace (std::move (key), std::move (entry));
        return;
    }

    if (entry.revision < known->second.revision)
        return;

    // A late write by an earlier incarnation of the replica.
    if (entry.info.born != 0 && entry.info.born < known->second.info.born)
    {
        known->second.revision = entry.revision;
        return;
    }

    if (entry.isLeaving != known->second.isLeaving || entry.info.born != known->second.info.born)
        logSeen (entry);

    known->second = std::move (entry);
}

auto applyList (ReplicaDirectory& directory,
                ListedEntries listed,
                std::uint64_t revision,
                TimePoint now,
                ListReason reason) -> void
{
    std::set<std::string> present;
    const auto isCheck = reason == ListReason::check;
    auto isMissed = false;

    for (const auto& unreadable : listed.unreadable)
    {
        present.insert (unreadable.key);
        applyRemoval (directory, unreadable.key, unreadable.removal, now);
    }

    for (auto& entry : listed.entries)
    {
        present.insert (entry.key);
        isMissed = isMissed || (isCheck && wasMissed (directory, entry));
        applyEntry (directory, std::move (entry));
    }

    for (auto place = directory.entries.begin(); place != directory.entries.end();)
    {
        auto& [key, entry] = *place;

        if (present.contains (key) || entry.revision > revision)
        {
            ++place;
            continue;
        }

        // The revision of the removal is unknown; the list's revision announces it to all nodes with an older state.
        if (! directory.removals.contains (key))
        {
            recordRemoval (directory, key, { revision, false });
            isMissed = isMissed || (isCheck && revision <= directory.revision);
        }

        if (! isDroppedWhenMissing (directory, entry, now))
        {
            ++place;
            continue;
        }

        logRemoved (entry, "not_listed");
        place = directory.entries.erase (place);
    }

    // Another node may still have a replica that was added and removed during the gap.
    if (! isCheck)
        directory.removalsCompleteAfter = std::max (directory.removalsCompleteAfter, revision);

    if (isMissed)
    {
        ++directory.missedChanges;
        LogLine ("changes_missed").with ("revision", directory.revision).with ("listed", revision).warning();
    }

    directory.revision = std::max (directory.revision, revision);
}

auto applyRemoval (ReplicaDirectory& directory, const std::string& key, EntryRemoval removal, TimePoint now)
    -> void
{
    const auto known = directory.entries.find (key);

    if (known != directory.entries.end() && known->second.revision > removal.revision)
        return;

    recordRemoval (directory, key, removal);

    if (known == directory.entries.end())
        return;

    if (! removal.isUnreadable && ! isDroppedWhenMissing (directory, known->second, now))
        return;

    logRemoved (known->second, removal.isUnreadable ? "unreadable" : "removed");
    directory.entries.erase (known);
}

auto changesAfter (const ReplicaDirectory& directory, std::uint64_t revision, std::size_t most)
    -> DirectoryChanges
{
    DirectoryChanges changes;
    changes.revision = directory.revision;
    changes.isComplete = directory.revision > 0 && revision >= directory.removalsCompleteAfter;

    for (const auto& [key, entry] : directory.entries)
        if (entry.revision > revision && ! entry.isMissing)
            changes.entries.push_back (entry);

    for (const auto& [key, removal] : directory.removals)
        if (removal.revision > revision)
            changes.removed.push_back ({ key, removal });

    if (changes.entries.size() + changes.removed.size() <= most)
        return changes;

    // Returns the oldest changes, complete up to one revision, from which the caller queries again.
    std::vector<std::uint64_t> revisions;

    for (const auto& entry : changes.entries)
        revisions.push_back (entry.revision);

    for (const auto& removed : changes.removed)
        revisions.push_back (removed.removal.revision);

    const auto last = revisions.begin() + static_cast<std::ptrdiff_t> (most - 1);
    std::ranges::nth_element (revisions, last);
    changes.revision = *last;
    std::erase_if (changes.entries, [&] (const auto& entry) { return entry.revision > changes.revision; });
    std::erase_if (changes.removed,
                   [&] (const auto& removed) { return removed.removal.revision > changes.revision; });
    return changes;
}

auto applyChanges (ReplicaDirectory& directory, DirectoryChanges changes, TimePoint now) -> bool
{
    for (const auto& removed : changes.removed)
        applyRemoval (directory, removed.key, removed.removal, now);

    for (auto& entry : changes.entries)
        applyEntry (directory, std::move (entry));

    directory.revision = std::max (directory.revision, changes.revision);
    return ! changes.removed.empty() || ! changes.entries.empty();
}

auto dropMissing (ReplicaDirectory& directory, TimePoint now) -> bool
{
    if (now < directory.keepMissingUntil)
        return false;

    const auto dropped = std::erase_if (directory.entries,
                                        [] (const auto& known)
                                        {
                                            if (known.second.isMissing)
                                                logRemoved (known.second, "did_not_come_back");

                                            return known.second.isMissing;
                                        });
    return dropped > 0;
}

auto listedReplicas (const ReplicaDirectory& directory) -> std::vector<ListedReplica>
{
    std::vector<ListedReplica> listed;
    listed.reserve (directory.entries.size());

    for (const auto& [key, entry] : directory.entries)
        listed.push_back ({ entry.info, entry.isLeaving });

    return listed;
}

} // namespace snowrudder
