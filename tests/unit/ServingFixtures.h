#pragma once

#include "snowrudder_serving/directory/ReplicaDirectory.h"
#include "snowrudder_serving/members/StoreUpdates.h"

#include <set>
#include <string>

namespace snowrudder::tests
{

/** An arbitrary point in time other than the default TimePoint, which means "never". */
inline const auto start = TimePoint() + std::chrono::hours (1);

/** @returns a replica's entry, as it is read from a list or a watch. */
inline auto replicaEntry (const std::string& name, std::uint64_t revision) -> DirectoryEntry
{
    DirectoryEntry entry;
    entry.key = "replicas/" + name;
    entry.info.name = name;
    entry.info.service = "model";
    entry.revision = revision;
    return entry;
}

/** The data from the store that a node holds. */
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

/** @returns the view of a node with a configuration of revision 5 and two replicas, whose freshness was proven at
    `start`.
*/
inline auto makeStoreView (bool isReader) -> StoreView
{
    StoreView node;
    node.storeUpdates.isReader = isReader;
    node.storeUpdates.mustListReplicas = false;
    node.configuration.current = configurationAt (5);
    node.configuration.provenAt = start;
    node.storeUpdates.ownProvenAt = node.storeUpdates.ownDirectoryProvenAt = start;
    applyList (node.directory, { { replicaEntry ("one", 3), replicaEntry ("two", 4) }, {} }, 6, start);
    return node;
}

/** Queries a reader for store updates and applies its response, which arrives `roundTrip` after the query was sent. */
inline auto queryReader (StoreView& querier,
                         const StoreView& reader,
                         TimePoint sent,
                         Duration roundTrip = 1ms) -> StoreUpdateEffect
{
    const auto query = makeStoreUpdateQuery (querier.storeUpdates, querier.directory, "asker", sent);
    auto response = makeStoreUpdateResponse (query, reader.storeUpdates, reader.configuration,
                                             reader.directory, "reader", sent + roundTrip / 2);
    return applyStoreUpdateResponse (querier.storeUpdates, querier.configuration, querier.directory,
                                     std::move (response), sent + roundTrip);
}

inline auto replicaNames (const ReplicaDirectory& directory) -> std::set<std::string>
{
    std::set<std::string> names;

    for (const auto& [key, entry] : directory.entries)
        if (! entry.isMissing)
            names.insert (entry.info.name);

    return names;
}

} // namespace snowrudder::tests
