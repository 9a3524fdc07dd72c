#pragma once

#include "../gateway/CallerScope.h"

namespace snowrudder
{

/** Handles `GET /v1/requests/{id}`: answers from a local record, or relays the answer of the router that holds it.

    @param idText  the request identifier from the path
*/
auto handleResume (RouterState& state,
                   Worker& worker,
                   Exchange& exchange,
                   CallerScope scope,
                   std::string idText) -> Task<void>;

} // namespace snowrudder
