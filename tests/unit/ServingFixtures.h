#pragma once

#include "snowrudder_serving/directory/ReplicaDirectory.h"
#include "snowrudder_serving/members/StoreUpdates.h"

#include <set>
#include <string>

namespace snowrudder::tests
{

/** Any point in time but the clock's first: a default TimePoint stands for "never". */
inline const auto start = TimePoint() + std::chrono::hours (1);

/** @returns a replica's entry as a list or a watch tells it. */
inline auto replicaEntry (const std::string& name, std::uint64_t revision) -> DirectoryEntry
{
    DirectoryEntry entry;
    entry.key = "replicas/" + name;
    entry.info.name = name;
    entry.info.service = "model";
    entry.revision = revision;
    return entry;
}

/** What one node has of the store. */
struct StoreView
{
    StoreUpdateState storeUpdates;
    ConfigurationState configuration;
    ReplicaDirectory directory;
};

inline auto configurationAt (std::uint64_t revision) -> std::shared_ptr<const RoutingConfiguration>
{
    auto made = std::make_shared<RoutingConfiguration>();
    made->revision = revision;
    return made;
}

/** A node with a configuration of revision 5 and two replicas, proved at `start`. */
inline auto makeStoreView (bool isReader) -> StoreView
{
    StoreView node;
    node.storeUpdates.isReader = isReader;
    node.storeUpdates.mustListReplicas = false;
    node.configuration.current = configurationAt (5);
    node.configuration.provenAt = start;
    node.storeUpdates.ownProvenAt = start;
    applyList (node.directory, { { replicaEntry ("one", 3), replicaEntry ("two", 4) }, {} }, 6, start);
    return node;
}

/** Asks and is answered, with `way` between the question and its answer's arrival. */
inline auto exchange (StoreView& requester, const StoreView& reader, TimePoint sent, Duration way = 1ms)
    -> StoreUpdateEffect
{
    const auto query = makeStoreUpdateQuery (requester.storeUpdates, requester.directory, "asker", sent);
    auto response = makeStoreUpdateResponse (query, reader.storeUpdates, reader.configuration, reader.directory,
                                             "reader", sent + way / 2);
    return applyStoreUpdateResponse (requester.storeUpdates, requester.configuration, requester.directory,
                                     std::move (response), sent + way);
}

inline auto namesIn (const ReplicaDirectory& directory) -> std::set<std::string>
{
    std::set<std::string> names;

    for (const auto& [key, entry] : directory.entries)
        if (! entry.isMissing)
            names.insert (entry.info.name);

    return names;
}

} // namespace snowrudder::tests
