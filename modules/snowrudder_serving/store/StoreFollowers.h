#pragma once

#include "../directory/ReplicaDirectory.h"
#include "../node/ServingState.h"
#include "StateStore.h"

#include <functional>
#include <memory>

namespace snowrudder
{

/** What a face knows of the items that operators and replicas keep in the store. */
struct StoreFormats
{
    std::string configurationKey;
    std::string replicaPrefix;
    /** Of operators' orders to move a service to another version, and of what they read of it. */
    std::string rolloutPrefix;
    std::string rolloutStatusPrefix;
    /** @returns nothing when the item can't be understood */
    std::function<std::shared_ptr<RoutingConfiguration> (const StoredItem&)> readConfiguration;
    std::function<std::optional<DirectoryEntry> (const StoredItem&)> readReplica;
    std::function<std::optional<Rollout> (const StoredItem&)> readRollout;
    std::function<std::optional<RolloutStatus> (const StoredItem&)> readRolloutStatus;
    std::function<StoredItem (const RolloutStatus&)> writeRolloutStatus;
};

/** Notes whether the store answers, and logs when that changes. */
auto recordStoreOutcome (ServingState& state, StoreOutcome outcome, std::string_view purpose) -> void;

/** Keeps the operators' configuration in force and its proof of freshness young, for ever.

    Once each `checkInterval` it asks the store whether the configuration is still at the revision held: a transaction
    with this one condition and no change. That answer is linearizable, small, and brings the newer item where there is
    one; a watch proves nothing while it waits, and may be silent while changes are made.

    @param onAdopted  called after a newer version came into force
*/
auto followConfiguration (ServingState& state,
                          const StateStore& store,
                          const StoreFormats& formats,
                          std::function<void()> onAdopted) -> Task<void>;

/** Keeps the list of replicas, for ever: a list, then watches from there on, and a new list where a watch may have missed
    something.
*/
auto followReplicas (ServingState& state, const StateStore& store, const StoreFormats& formats) -> Task<void>;

} // namespace snowrudder
