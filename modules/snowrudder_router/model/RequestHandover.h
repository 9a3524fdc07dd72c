#pragma once

#include "../gateway/CallerScope.h"

#include <string>

namespace snowrudder
{

/** Hands every open model request to an heir in another failure domain, which goes on with it. Callers find it there
    by its identifier, through any router.
*/
auto handOverRequests (RouterState& state, Worker& worker) -> Task<void>;

/** Takes a request that a leaving router hands over, and goes on with it.

    @returns false when the message makes no sense or the request can't go on here
*/
auto acceptHandedRequest (RouterState& state, Worker& worker, const std::string& message) -> bool;

} // namespace snowrudder
