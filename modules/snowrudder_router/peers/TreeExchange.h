#pragma once

#include "../state/RouterState.h"

#include "node_messages.pb.h"
#include "snowrudder_net/snowrudder_net.h"

namespace snowrudder
{

/** Merges the settings tree of another node, and replies with this router's revision, and its text if it is newer. The
    revision never decreases, so that late, duplicate and outdated messages have no effect.

    @returns the serialized reply; nothing if the message is malformed
*/
auto exchangeTree (RouterState& state, const std::string& message) -> std::optional<std::string>;

/** Compares the settings tree with one randomly selected router each second. Never returns. A revision that a few routers
    hold is in force everywhere within seconds even while the platform's key-value service is down, at a cost per router
    that doesn't grow with the fleet.
*/
auto gossipTree (RouterState& state, Worker& worker) -> Task<void>;

/** @returns this router's status for the administration API, as a serialized `RouterStatus`. */
auto routerStatus (const RouterState& state) -> std::string;

} // namespace snowrudder
