#pragma once

#include "../gateway/CallerScope.h"

#include <string>

namespace snowrudder
{

/** Hands every open model request over to a successor, which continues it; routers in other failure domains come first.
    Callers can resume it by its identifier at any router.
*/
auto handOverRequests (RouterState& state, Worker& worker) -> Task<void>;

/** Accepts a request that a leaving router hands over, and continues it.

    @returns false if the message is malformed or the request can't be continued here
*/
auto acceptHandedRequest (RouterState& state, Worker& worker, const std::string& message) -> bool;

} // namespace snowrudder
