#pragma once

#include "../node/ServingState.h"

namespace snowrudder
{

/** Admits or refuses a request that a face has decoded, and serves it if it is admitted.

    @param read  the decoded request, or why it is malformed
*/
auto handleRouted (ServingState& state, Exchange& exchange, std::variant<CallerRequest, Problem> read)
    -> Task<void>;

/** @returns the problem of input that the server of callers could not read as a request. */
auto problemOfInput (const ServingState& state, const RejectedInput& input, TimePoint now) -> Problem;

/** Decides whether a request is admitted, by the configuration in force and its proven freshness, the request's key and
    crash history, and its account's limit.

    @param caller         moved from if the request is admitted
    @param arrived        start of the latency target, the caller's time limit and the route's timeout
    @param isSecondCheck  whether the request was refused by its account's limit before and has waited
    @returns              the admitted request, or why it is refused
*/
auto admit (ServingState& state, CallerRequest& caller, TimePoint arrived, bool isSecondCheck, TimePoint now)
    -> std::variant<RoutedRequest, Problem>;

} // namespace snowrudder
