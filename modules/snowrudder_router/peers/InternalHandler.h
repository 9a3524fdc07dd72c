#pragma once

#include "../gateway/CallerScope.h"

namespace snowrudder
{

/** Paths with this prefix are for nodes of the fleet only. */
inline constexpr auto internalPrefix = std::string_view ("/internal/");

/** Handles requests from other nodes: `POST /internal/slots`, `/internal/request`, `/internal/tree`,
    `/internal/crashes` and `/internal/status`. A request that is not signed by a node of the fleet gets 401.
*/
auto handleInternal (RouterState& state, Worker& worker, Exchange& exchange) -> Task<void>;

} // namespace snowrudder
