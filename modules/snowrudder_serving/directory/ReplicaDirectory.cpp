#include "ReplicaDirectory.h"

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
        .with ("revision", entry.revision)
        .info();
}

auto logGone (const DirectoryEntry& entry, std::string_view reason) -> void
{
    LogLine ("replica_gone").with ("replica", entry.info.name).with ("reason", reason).info();
}

/** Drops an entry that the store no longer has, or keeps it for a while where it may only have lapsed. */
auto noteMissing (ReplicaDirectory& directory, DirectoryEntry& entry, TimePoint now) -> bool
{
    if (now < directory.keepMissingUntil && ! entry.isLeaving)
    {
        entry.isMissing = true;
        return false;
    }

    return true;
}

} // namespace

auto applyEntry (ReplicaDirectory& directory, DirectoryEntry entry) -> void
{
    const auto known = directory.entries.find (entry.key);

    if (known == directory.entries.end())
    {
        logSeen (entry);
        auto key = entry.key;
        directory.entries.emplace (std::move (key), std::move (entry));
        return;
    }

    if (entry.revision < known->second.revision)
        return;

    if (entry.isLeaving != known->second.isLeaving)
        logSeen (entry);

    known->second = std::move (entry);
}

auto applyList (ReplicaDirectory& directory,
                std::vector<DirectoryEntry> listed,
                std::uint64_t revision,
                TimePoint now) -> void
{
    std::set<std::string> present;

    for (auto& entry : listed)
    {
        present.insert (entry.key);
        applyEntry (directory, std::move (entry));
    }

    for (auto place = directory.entries.begin(); place != directory.entries.end();)
    {
        auto& [key, entry] = *place;
        const auto isListed = present.contains (key) || entry.revision > revision;

        if (isListed || ! noteMissing (directory, entry, now))
        {
            ++place;
            continue;
        }

        logGone (entry, "not_listed");
        place = directory.entries.erase (place);
    }

    directory.revision = std::max (directory.revision, revision);
}

auto applyRemoval (ReplicaDirectory& directory, const std::string& key, std::uint64_t revision, TimePoint now)
    -> void
{
    const auto known = directory.entries.find (key);

    if (known == directory.entries.end() || known->second.revision > revision)
        return;

    if (! noteMissing (directory, known->second, now))
        return;

    logGone (known->second, "removed");
    directory.entries.erase (known);
}

auto dropMissing (ReplicaDirectory& directory, TimePoint now) -> bool
{
    if (now < directory.keepMissingUntil)
        return false;

    const auto dropped = std::erase_if (directory.entries,
                                        [] (const auto& known)
                                        {
                                            if (known.second.isMissing)
                                                logGone (known.second, "did_not_come_back");

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
