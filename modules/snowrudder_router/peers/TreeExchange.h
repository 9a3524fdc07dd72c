#pragma once

#include "../state/RouterState.h"

#include "node_messages.pb.h"
#include "snowrudder_net/snowrudder_net.h"

namespace snowrudder
{

/** Takes what another node knows of the tree and tells what this one knows: the text only where it is newer. Revisions
    go forward only, so that late, doubled and old messages change nothing.

    @returns nothing when the message is not understood
*/
auto exchangeTree (RouterState& state, const std::string& message) -> std::optional<std::string>;

/** Compares the tree with one router drawn at random each second, for ever. A revision that a few routers hold is in
    force everywhere within seconds though the platform's service be down, at a cost that does not grow with the fleet.
*/
auto gossipTree (RouterState& state, Worker& worker) -> Task<void>;

/** @returns this router's state for the administration API, serialized. */
auto routerStatus (const RouterState& state) -> std::string;

} // namespace snowrudder
