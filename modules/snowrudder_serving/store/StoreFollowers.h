#pragma once

#include "../configuration/ConfigurationReading.h"
#include "../directory/ReplicaDirectory.h"
#include "../node/ServingState.h"
#include "StateStore.h"

#include <functional>
#include <memory>

namespace snowrudder
{

/** Keys and formats of the items that operators and replicas keep in the store. They depend on the platform. */
struct StoreFormats
{
    std::string configurationKey;
    std::string replicaPrefix;
    /** Prefixes of the operators' rollout orders, and of the status items that nodes write for them. */
    std::string rolloutPrefix;
    std::string rolloutStatusPrefix;
    std::function<ConfigurationReading (const StoredItem&)> readConfiguration;
    /** The other read functions return nothing when the item can't be parsed. */
    std::function<std::optional<DirectoryEntry> (const StoredItem&)> readReplica;
    /** @returns what is wrong with an entry that `readReplica` refuses. */
    std::function<std::string_view (const StoredItem&)> replicaFault = [] (const StoredItem&)
    { return std::string_view(); };
    std::function<std::optional<Rollout> (const StoredItem&)> readRollout;
    std::function<std::optional<RolloutStatus> (const StoredItem&)> readRolloutStatus;
    std::function<StoredItem (const RolloutStatus&)> writeRolloutStatus;
};

/** Records whether the store responds, and logs when that changes. */
auto recordStoreOutcome (ServingState& state, StoreOutcome outcome, std::string_view purpose) -> void;

/** Keeps the replica directory up to date. Never ends. It lists all entries, watches from that revision on, and lists
    again when a watch may have missed changes.
*/
auto followReplicas (ServingState& state, const StateStore& store, const StoreFormats& formats) -> Task<void>;

} // namespace snowrudder
