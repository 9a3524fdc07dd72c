#pragma once

#include "../node/ServingState.h"

namespace snowrudder
{

/** Admits or refuses a request that a face has decoded, and serves it.

    @param read  the request, or what is wrong with it
*/
auto handleRouted (ServingState& state, Exchange& exchange, std::variant<CallerRequest, Problem> read)
    -> Task<void>;

/** Decides whether a request is admitted, by the configuration in force, its key, its account's limit, and how fresh
    the configuration is known to be.

    @param caller        moved from where it is admitted
    @param arrived       what its target, its patience and its route's time count from
    @param isAdmissionRetry  whether it was refused before and has waited
*/
auto admit (ServingState& state,
            CallerRequest& caller,
            TimePoint arrived,
            bool isAdmissionRetry,
            TimePoint now)
    -> std::variant<RoutedRequest, Problem>;

} // namespace snowrudder
