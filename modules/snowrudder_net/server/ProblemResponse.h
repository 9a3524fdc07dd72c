#pragma once

#include "../concurrency/AsioNames.h"

#include "snowrudder_core/snowrudder_core.h"

#include <string_view>

namespace snowrudder
{

/** @returns the response for a problem, as `application/problem+json`.

    @param requestId  the request's identifier, empty if it has none
    @param extra      members that are added to the body; they replace standard members of the same name
*/
auto problemResponse (const Problem& problem,
                      std::string_view requestId,
                      const boost::json::object& extra = {}) -> HttpResponse;

} // namespace snowrudder
