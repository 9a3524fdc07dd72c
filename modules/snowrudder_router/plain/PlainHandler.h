#pragma once

#include "../gateway/CallerScope.h"

namespace snowrudder
{

/** Handles `/services/{service}/{path}`, any method. */
auto handlePlain (RouterState& state, Worker& worker, Exchange& exchange, CallerScope scope) -> Task<void>;

} // namespace snowrudder
