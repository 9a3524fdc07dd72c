#pragma once

#include "../gateway/CallerScope.h"

namespace snowrudder
{

/** Paths below this are for routers only. */
inline constexpr auto internalPrefix = std::string_view ("/internal/");

/** Answers what another router asks: `POST /internal/slots`, `/internal/request`, `/internal/tree`,
    `/internal/crashes` and `/internal/status`. Strangers get 401.
*/
auto handleInternal (RouterState& state, Worker& worker, Exchange& exchange) -> Task<void>;

} // namespace snowrudder
