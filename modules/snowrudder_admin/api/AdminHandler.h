#pragma once

#include "AdminState.h"

namespace snowrudder
{

/** Handles one request to the administration API: the settings tree, its history, checks, and the fleet's status.
    Operators authenticate with bearer keys; those with the role READ may not edit. `/livez`, `/readyz` and `/metrics`
    require no key.
*/
auto handleAdmin (AdminState& state, Exchange& exchange) -> Task<void>;

} // namespace snowrudder
