#include "ReplicaListing.h"

#include "ReplicaWatchTimes.h"

#include <algorithm>
#include <optional>

namespace snowrudder
{

namespace
{

/** The number of entries that can't be parsed which are logged each by itself, of those in one list or response. */
constexpr auto maxLoggedFaults = std::size_t { 8 };

/** The longest key of an entry that can't be parsed that other nodes are told of. No replica has a longer one, and a message that
    doesn't fit into a datagram reaches no node.
*/
constexpr auto maxSharedKeyLength = std::size_t { 512 };

/** How often the changes since the beginning of a list are read during it. */
constexpr auto changesInterval = Duration (1s);

/** Entries that can't be parsed. */
struct UnreadableEntries
{
    std::size_t count = 0;
    std::size_t unlogged = 0;
};

auto logUnlogged (const UnreadableEntries& unreadable) -> void
{
    if (unreadable.unlogged > 0)
        LogLine ("replicas_unreadable")
            .with ("entries", unreadable.count)
            .with ("not_logged", unreadable.unlogged)
            .warning();
}

/** @returns a replica's entry, or nothing when it can't be parsed, which is logged once until it can be. */
auto readEntry (ServingState& state,
                const StoreFormats& formats,
                const StoredItem& item,
                UnreadableEntries& unreadable) -> std::optional<DirectoryEntry>
{
    auto entry = formats.readReplica (item);

    if (entry)
        return entry;

    const auto& removals = state.directory.removals;
    const auto known = removals.find (item.key);

    if (known != removals.end() && known->second.revision >= item.revision)
        return {};

    state.metrics.counter ("snowrudder_replicas_unreadable_total").add();

    // Its replica may write it anew with each heartbeat.
    if (known != removals.end() && known->second.isUnreadable)
        return {};

    if (++unreadable.count > maxLoggedFaults)
    {
        ++unreadable.unlogged;
        return {};
    }

    LogLine ("replica_unreadable")
        .with ("key", std::string_view (item.key).substr (0, maxLoggedKeyLength))
        .with ("revision", item.revision)
        .with ("fault", formats.replicaFault (item))
        .warning();
    return {};
}

/** A list of the replicas in progress. */
struct PagedList
{
    ServingState& state;
    const StateStore& store;
    const StoreFormats& formats;
    ListReason reason = ListReason::afterGap;
    TimePoint usedAt {};
    TimePoint changesReadAt {};
    /** None before the first page. */
    std::optional<DirectoryList> list {};
    /** The store's revision up to which all changes were applied: those since the list began, or in a check those since the
        watch before.
    */
    std::uint64_t changesRevision = 0;
    UnreadableEntries unreadable {};
};

/** Applies the changes that came during a list. */
auto readChanges (PagedList& listing) -> Task<void>
{
    const auto sentAt = BootClock::now();
    const auto changed =
        co_await listing.store.watch (listing.formats.replicaPrefix, listing.changesRevision, catchUpTimes);
    listing.changesReadAt = BootClock::now();

    // Without a response the watch that follows the list returns them.
    if (changed.outcome != StoreOutcome::done || (changed.items.empty() && changed.unreadable == 0))
        co_return;

    auto& state = listing.state;
    applyEvents (state, listing.formats, changed.items);
    listing.changesRevision = std::max (listing.changesRevision, changed.revision);

    if (listing.reason == ListReason::afterGap)
        co_return;

    state.directory.revision = std::max (state.directory.revision, listing.changesRevision);
    state.storeUpdates.ownDirectoryProvenAt =
        std::max (state.storeUpdates.ownDirectoryProvenAt,
                  provenByWatch (sentAt, listing.changesReadAt, catchUpTimes.wait, true));
}

auto receivePage (PagedList& listing, ReadItems page) -> Task<void>
{
    auto& state = listing.state;

    if (! listing.list)
    {
        const auto isCheck = listing.reason == ListReason::check;
        listing.list = DirectoryList { listing.reason, page.revision };
        listing.changesRevision = isCheck ? state.directory.revision : page.revision;
    }

    ListedEntries entries;

    for (const auto& item : page.items)
        if (auto entry = readEntry (state, listing.formats, item, listing.unreadable))
            entries.entries.push_back (std::move (*entry));
        else if (item.key.size() <= maxSharedKeyLength)
            entries.unreadable.push_back ({ item.key, { item.revision, true } });

    auto& progress = state.storeCalls.replicaList;
    ++progress.pages;
    progress.items += page.items.size();
    progress.unreadable += page.items.size() - entries.entries.size();

    const auto now = BootClock::now();
    applyPage (state.directory, *listing.list, std::move (entries), now);

    if (now - listing.usedAt >= earlyUseInterval)
    {
        listing.usedAt = now;
        state.publishDirectory (now);
    }

    if (now - listing.changesReadAt >= changesInterval)
        co_await readChanges (listing);
}

} // namespace

auto applyEvents (ServingState& state, const StoreFormats& formats, const std::vector<StoredItem>& items)
    -> void
{
    UnreadableEntries unreadable;

    for (const auto& item : items)
    {
        if (item.isRemoved)
            applyRemoval (state.directory, item.key, { item.revision, false }, BootClock::now());
        else if (auto entry = readEntry (state, formats, item, unreadable))
            applyEntry (state.directory, std::move (*entry));
        else if (item.key.size() <= maxSharedKeyLength)
            applyRemoval (state.directory, item.key, { item.revision, true }, BootClock::now());
    }

    logUnlogged (unreadable);
}

auto listReplicas (ServingState& state,
                   const StateStore& store,
                   const StoreFormats& formats,
                   ListReason reason,
                   std::size_t mostPages) -> Task<ListEnd>
{
    const auto sentAt = BootClock::now();
    PagedList listing { state, store, formats, reason, sentAt, sentAt };
    state.storeCalls.replicaList = {};
    beginCall (state.storeCalls.replicas, "list", sentAt);
    const auto receive = [&listing] (ReadItems page) { return receivePage (listing, std::move (page)); };
    const auto end = co_await listPages (state.loop, store, formats.replicaPrefix, ReadFreshness::newest,
                                         receive, mostPages);
    endCall (state.storeCalls.replicas, end.outcome, BootClock::now());
    state.storeCalls.replicaList.isWhole = end.isWhole;
    recordStoreOutcome (state, end.outcome, "replicas");
    logUnlogged (listing.unreadable);

    if (! listing.list)
        co_return end;

    const auto now = BootClock::now();
    auto& directory = state.directory;

    if (end.isWhole)
    {
        endList (directory, *listing.list, now);
        auto& provenAt = state.storeUpdates.ownDirectoryProvenAt;
        provenAt = std::max (provenAt, sentAt);
    }
    else
    {
        endPartialList (directory, *listing.list);
    }

    directory.revision = std::max (directory.revision, listing.changesRevision);

    // The first page alone is followed by the others, or by a snapshot.
    if (end.isWhole || end.pages < mostPages)
        state.publishDirectory (now);

    if (reason == ListReason::afterGap)
        state.versions.recordGap (now);

    co_return end;
}

} // namespace snowrudder
