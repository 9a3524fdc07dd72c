#include "ReplicaDirectory.h"

#include <algorithm>
#include <utility>

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

/** The largest number of entries in one list or message that are logged each by itself. A node on a tenth of a core would
    take a quarter of a second to log thousands of them.
*/
constexpr auto maxLoggedEntries = std::size_t { 64 };

/** The same for one message from another node: a service that starts brings hundreds of entries a second, in messages of
    some dozens.
*/
constexpr auto maxLoggedEntriesOfMessage = std::size_t { 8 };

/** Logs many entries that were received together by one line. */
auto logMany (std::string_view source, std::size_t entries, std::uint64_t revision) -> void
{
    LogLine ("replicas_seen")
        .with ("source", source)
        .with ("replicas", entries)
        .with ("revision", revision)
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
    if (now < directory.keepMissingUntil && ! leaves (entry))
    {
        entry.isMissing = true;
        return false;
    }

    return true;
}

/** Records the revision of a key's change, and removes outdated ones when they outnumber the current ones. */
auto indexChange (ReplicaDirectory& directory, const std::string& key, std::uint64_t revision) -> void
{
    auto& index = directory.keysByRevision;
    index.emplace (revision, key);

    if (index.size() <= 2 * (directory.entries.size() + directory.removals.size() + 1))
        return;

    index.clear();

    for (const auto& [known, entry] : directory.entries)
        index.emplace (entry.revision, known);

    for (const auto& [known, removal] : directory.removals)
        index.emplace (removal.revision, known);
}

/** Forgets the removals that were recorded longer than `removalsKept` ago. */
auto forgetOldRemovals (ReplicaDirectory& directory, TimePoint now) -> void
{
    auto& times = directory.removalTimes;

    for (; ! times.empty() && now - times.front().first > ReplicaDirectory::removalsKept; times.pop_front())
    {
        const auto found = directory.removals.find (times.front().second);

        if (found == directory.removals.end() || found->second.recordedAt != times.front().first)
            continue;

        directory.removalsCompleteAfter = std::max (directory.removalsCompleteAfter, found->second.revision);
        directory.removals.erase (found);
    }
}

/** Records a removal for nodes that query changes. */
auto recordRemoval (ReplicaDirectory& directory, const std::string& key, EntryRemoval removal, TimePoint now)
    -> void
{
    auto& known = directory.removals[key];

    if (removal.revision >= known.revision)
    {
        if (const auto entry = directory.entries.find (key); entry != directory.entries.end())
            removal.contentRevision = entry->second.contentRevision;

        removal.recordedAt = now;
        known = removal;
        directory.removalTimes.emplace_back (now, key);
        indexChange (directory, key, removal.revision);
    }

    forgetOldRemovals (directory, now);
}

/** @param isLogged  whether the change is logged by itself */
auto mergeEntry (ReplicaDirectory& directory, DirectoryEntry entry, bool isLogged) -> void
{
    const auto known = directory.entries.find (entry.key);
    entry.isShownLeaving = directory.shownLeaving.contains (incarnationHash (entry.info));

    // The entry had expired and was written again.
    if (const auto removal = directory.removals.find (entry.key);
        removal != directory.removals.end() && removal->second.revision < entry.revision)
        directory.removals.erase (removal);

    if (known == directory.entries.end())
    {
        if (isLogged)
            logSeen (entry);

        entry.contentRevision = entry.revision;
        auto key = entry.key;
        directory.unlistedChanges[key] = entry.info.name;
        const auto added = directory.entries.emplace (std::move (key), std::move (entry)).first;
        indexChange (directory, added->first, added->second.revision);
        return;
    }

    if (entry.revision < known->second.revision)
        return;

    // A late write by an earlier incarnation of the replica.
    if (entry.info.born != 0 && entry.info.born < known->second.info.born)
    {
        known->second.revision = entry.revision;
        indexChange (directory, entry.key, entry.revision);
        return;
    }

    if (isLogged &&
        (entry.isLeaving != known->second.isLeaving || entry.info.born != known->second.info.born))
        logSeen (entry);

    if (entry.revision == known->second.revision)
    {
        known->second.isMissing = false;
        return;
    }

    const auto hasSameContent =
        entry.info == known->second.info && entry.isReclaimable == known->second.isReclaimable;
    directory.unlistedChanges[known->first] = entry.info.name;
    entry.contentRevision = hasSameContent ? known->second.contentRevision : entry.revision;
    known->second = std::move (entry);
    indexChange (directory, known->first, known->second.revision);
}

/** Approximate size in a message of an entry without its texts, and of a change of an entry that the receiver has. */
constexpr auto entryBytes = std::size_t { 48 };
constexpr auto knownChangeBytes = std::size_t { 14 };

/** Adds the change that a key had at one revision, unless it has changed again since.

    @param from  the revision up to which the receiver has all changes
    @returns     its approximate size in a message
*/
auto addChange (const ReplicaDirectory& directory,
                const std::string& key,
                std::uint64_t revision,
                std::uint64_t from,
                DirectoryChanges& changes) -> std::size_t
{
    auto bytes = std::size_t { 0 };

    if (const auto found = directory.entries.find (key);
        found != directory.entries.end() && found->second.revision == revision && ! found->second.isMissing)
    {
        const auto& entry = found->second;

        if (entry.contentRevision <= from && entry.isLeaving)
        {
            changes.known.push_back ({ hashBytes (key), revision, false });
            bytes += knownChangeBytes;
        }
        else
        {
            changes.entries.push_back (entry);
            bytes += entryBytes + key.size() + entry.info.name.size() + entry.info.service.size() +
                     entry.info.endpoint.size() + entry.info.failureDomain.size() + entry.info.version.size();
        }
    }

    // A node without any entry needs no removals.
    if (const auto found = directory.removals.find (key);
        from > 0 && found != directory.removals.end() && found->second.revision == revision)
    {
        const auto& removal = found->second;

        if (! removal.isUnreadable && removal.contentRevision && *removal.contentRevision <= from)
        {
            changes.known.push_back ({ hashBytes (key), revision, true });
            bytes += knownChangeBytes;
        }
        else
        {
            changes.removed.push_back ({ key, removal });
            bytes += knownChangeBytes + key.size();
        }
    }

    return bytes;
}

/** Applies changes of entries that this node has. One that it doesn't have was removed here before; since its key isn't
    known, this node can't tell others of the removal.
*/
auto applyKnownChanges (ReplicaDirectory& directory,
                        const std::vector<KnownEntryChange>& changes,
                        TimePoint now) -> void
{
    if (changes.empty())
        return;

    std::map<std::uint64_t, KnownEntryChange> byHash;

    for (const auto& change : changes)
        byHash[change.keyHash] = change;

    std::vector<std::pair<DirectoryEntry, KnownEntryChange>> found;

    for (const auto& [key, entry] : directory.entries)
        if (const auto change = byHash.find (hashBytes (key)); change != byHash.end())
        {
            found.emplace_back (entry, change->second);
            byHash.erase (change);
        }

    for (auto& [entry, change] : found)
    {
        if (change.isRemoved)
        {
            applyRemoval (directory, entry.key, { change.revision, false }, now);
            continue;
        }

        entry.revision = change.revision;
        entry.isLeaving = true;
        entry.isMissing = false;
        applyEntry (directory, std::move (entry));
    }

    for (const auto& [hash, change] : byHash)
        directory.removalsCompleteAfter = std::max (directory.removalsCompleteAfter, change.revision);
}

/** Records that watches have left out changes that a list shows. */
auto recordMissedChanges (ReplicaDirectory& directory, const DirectoryList& list) -> void
{
    ++directory.missedChanges;
    LogLine ("changes_missed").with ("revision", directory.revision).with ("listed", list.revision).warning();
}

/** @returns whether a watch before the list should have returned a listed entry but did not. */
auto wasMissed (const ReplicaDirectory& directory, const DirectoryList& list, const DirectoryEntry& listed)
    -> bool
{
    const auto known = directory.entries.find (listed.key);
    const auto isNew = known == directory.entries.end() || known->second.revision < listed.revision;
    return list.reason == ListReason::check && isNew && listed.revision <= directory.revision;
}

} // namespace

auto applyEntry (ReplicaDirectory& directory, DirectoryEntry entry) -> void
{
    constexpr auto isLogged = true;
    mergeEntry (directory, std::move (entry), isLogged);
}

auto applyPage (ReplicaDirectory& directory, DirectoryList& list, ListedEntries page, TimePoint now) -> void
{
    for (const auto& unreadable : page.unreadable)
    {
        list.present.insert (unreadable.key);
        applyRemoval (directory, unreadable.key, unreadable.removal, now);
    }

    // A list that continues a known state has few changes.
    const auto isStateKnown = directory.revision > 0 && ! directory.isPartial;
    const auto isLogged = isStateKnown || list.present.size() + page.entries.size() <= maxLoggedEntries;

    if (! isLogged)
        list.unlogged += page.entries.size();

    for (auto& entry : page.entries)
    {
        list.present.insert (entry.key);
        list.isMissed = list.isMissed || wasMissed (directory, list, entry);
        mergeEntry (directory, std::move (entry), isLogged);
    }
}

auto endList (ReplicaDirectory& directory, const DirectoryList& list, TimePoint now) -> void
{
    const auto isCheck = list.reason == ListReason::check;
    auto isMissed = list.isMissed;

    if (list.unlogged > 0)
        logMany ("list", list.unlogged, list.revision);

    for (auto place = directory.entries.begin(); place != directory.entries.end();)
    {
        auto& [key, entry] = *place;

        if (list.present.contains (key) || entry.revision > list.revision)
        {
            ++place;
            continue;
        }

        // The revision of the removal is unknown; the list's revision announces it to all nodes with an older state.
        if (! directory.removals.contains (key))
        {
            recordRemoval (directory, key, { list.revision, false }, now);
            isMissed = isMissed || (isCheck && list.revision <= directory.revision);
        }

        if (! isDroppedWhenMissing (directory, entry, now))
        {
            ++place;
            continue;
        }

        logRemoved (entry, "not_listed");
        directory.unlistedChanges[key] = entry.info.name;
        place = directory.entries.erase (place);
    }

    // Another node may still have a replica that was added and removed during the gap.
    if (! isCheck)
        directory.removalsCompleteAfter = std::max (directory.removalsCompleteAfter, list.revision);

    if (isMissed)
        recordMissedChanges (directory, list);

    directory.isPartial = false;
    directory.revision = std::max (directory.revision, list.revision);
}

auto endPartialList (ReplicaDirectory& directory, const DirectoryList& list) -> void
{
    if (list.unlogged > 0)
        logMany ("list", list.unlogged, list.revision);

    if (list.isMissed)
        recordMissedChanges (directory, list);

    if (list.reason == ListReason::check)
        return;

    directory.isPartial = true;
    directory.removalsCompleteAfter = std::max (directory.removalsCompleteAfter, list.revision);
    directory.revision = std::max (directory.revision, list.revision);
}

auto applyList (ReplicaDirectory& directory,
                ListedEntries listed,
                std::uint64_t revision,
                TimePoint now,
                ListReason reason) -> void
{
    DirectoryList list;
    list.reason = reason;
    list.revision = revision;
    applyPage (directory, list, std::move (listed), now);
    endList (directory, list, now);
}

auto applyRemoval (ReplicaDirectory& directory, const std::string& key, EntryRemoval removal, TimePoint now)
    -> void
{
    const auto known = directory.entries.find (key);

    if (known != directory.entries.end() && known->second.revision > removal.revision)
        return;

    recordRemoval (directory, key, removal, now);

    if (known == directory.entries.end())
        return;

    if (! removal.isUnreadable && ! isDroppedWhenMissing (directory, known->second, now))
        return;

    logRemoved (known->second, removal.isUnreadable ? "unreadable" : "removed");
    directory.unlistedChanges[key] = known->second.info.name;
    directory.entries.erase (known);
}

auto changesAfter (const ReplicaDirectory& directory, std::uint64_t revision, std::size_t mostBytes)
    -> DirectoryChanges
{
    DirectoryChanges changes;
    changes.revision = directory.revision;
    changes.isComplete =
        directory.revision > 0 && ! directory.isPartial && revision >= directory.removalsCompleteAfter;
    auto bytes = std::size_t { 0 };
    auto lastRevision = revision;

    // The pages of a list that goes on have entries of later revisions, but not all of them.
    const auto end = directory.keysByRevision.upper_bound (std::max (revision, directory.revision));

    for (auto place = directory.keysByRevision.upper_bound (revision); place != end; ++place)
    {
        if (place->first != lastRevision && bytes > mostBytes)
        {
            changes.revision = lastRevision;
            changes.hasMore = true;
            break;
        }

        lastRevision = place->first;
        bytes += addChange (directory, place->second, lastRevision, revision, changes);
    }

    return changes;
}

auto applyChanges (ReplicaDirectory& directory, DirectoryChanges changes, TimePoint now) -> bool
{
    for (const auto& removed : changes.removed)
        applyRemoval (directory, removed.key, removed.removal, now);

    const auto isLogged = changes.entries.size() <= maxLoggedEntriesOfMessage;

    if (! isLogged)
        logMany ("message", changes.entries.size(), changes.revision);

    for (auto& entry : changes.entries)
        mergeEntry (directory, std::move (entry), isLogged);

    applyKnownChanges (directory, changes.known, now);
    directory.revision = std::max (directory.revision, changes.revision);
    return ! changes.removed.empty() || ! changes.entries.empty() || ! changes.known.empty();
}

auto recordShownLeaving (ReplicaDirectory& directory, std::uint64_t incarnation, TimePoint now) -> bool
{
    const auto [known, isNew] = directory.shownLeaving.insert_or_assign (incarnation, now);

    if (! isNew)
        return false;

    std::set<std::uint64_t> listed;

    for (auto& [key, entry] : directory.entries)
    {
        const auto other = incarnationHash (entry.info);
        listed.insert (other);

        if (other != incarnation)
            continue;

        entry.isShownLeaving = true;
        directory.unlistedChanges[key] = entry.info.name;
    }

    std::erase_if (directory.shownLeaving,
                   [&] (const auto& shown) {
                       return now - shown.second > ReplicaDirectory::shownLeavingKept &&
                              ! listed.contains (shown.first);
                   });
    return true;
}

auto nameOf (const ReplicaDirectory& directory, std::uint64_t incarnation) -> std::string
{
    for (const auto& [key, entry] : directory.entries)
        if (incarnationHash (entry.info) == incarnation)
            return entry.info.name;

    return {};
}

auto dropMissing (ReplicaDirectory& directory, TimePoint now) -> bool
{
    if (now < directory.keepMissingUntil)
        return false;

    const auto dropped = std::erase_if (directory.entries,
                                        [&directory] (const auto& known)
                                        {
                                            if (! known.second.isMissing)
                                                return false;

                                            logRemoved (known.second, "did_not_come_back");
                                            directory.unlistedChanges[known.first] = known.second.info.name;
                                            return true;
                                        });
    return dropped > 0;
}

auto takeListChanges (ReplicaDirectory& directory) -> ListChanges
{
    ListChanges changes;

    for (const auto& [key, name] : std::exchange (directory.unlistedChanges, {}))
        if (const auto found = directory.entries.find (key); found != directory.entries.end())
            changes.changed.push_back ({ found->second.info, leaves (found->second) });
        else
            changes.removed.push_back (name);

    return changes;
}

} // namespace snowrudder
