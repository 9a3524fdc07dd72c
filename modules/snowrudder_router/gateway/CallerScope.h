#pragma once

#include "../state/RouterState.h"

#include "snowrudder_net/snowrudder_net.h"

#include <memory>
#include <string>

namespace snowrudder
{

/** A caller's request after its client account has been identified. */
struct CallerScope
{
    RequestId id;
    std::shared_ptr<const FleetView> fleet;
    std::shared_ptr<const AccountView> account;
};

/** Responds with a problem and counts it as an error.

    @param requestId  the request's identifier; may be empty
*/
auto respondProblem (RouterState& state,
                     Exchange& exchange,
                     const Problem& problem,
                     std::string_view requestId) -> Task<void>;

/** Counts an error on a connection that got no valid request.

    @returns the response to it
*/
auto rejectionResponse (RouterState& state, ErrorKind kind) -> HttpResponse;

/** Reads the header `Idempotency-Key`.

    @returns the key, empty if there is no such header; a problem if it is not a UUID of version 7
*/
auto readIdempotencyKey (const Exchange& exchange) -> std::variant<std::string, Problem>;

/** Admits a request under the limits of its client account, and counts it as concurrent until destroyed. */
class AccountAdmission
{
public:
    /** @param problem  set if the account's limits don't allow the request */
    AccountAdmission (RouterState& routerState,
                      const AccountView& accountView,
                      std::optional<Problem>& problem);
    ~AccountAdmission();

    AccountAdmission (const AccountAdmission&) = delete;
    auto operator= (const AccountAdmission&) -> AccountAdmission& = delete;

private:
    RouterState& state;
    std::string account;
    bool admitted = false;
};

/** Checks whether a new request is stopped because replicas crashed when they ran it.

    @returns the problem to respond with; nothing if the request may be sent
*/
auto checkCrashVerdict (RouterState& state, const RequestFingerprint& fingerprint, std::string_view requestId)
    -> std::optional<Problem>;

/** @returns the problem for a request that was not admitted to a service's queue, or left it without a permit. */
auto overloadProblem (const ServiceQueues::PermitOutcome& permit) -> Problem;

/** Writes the log line of a routing decision. */
auto logRoutingDecision (std::string_view requestId,
                         std::string_view account,
                         const TakenReplica& taken,
                         std::uint32_t attempt) -> void;

/** @returns the point in time until which a request may wait in a service's queue.

    @param deadline  deadline of the whole request
*/
auto queueDeadline (const ServiceView& service, TimePoint now, TimePoint deadline) -> TimePoint;

/** @returns the weights for choosing a replica of a service: the defaults, overridden by the service's settings. */
auto choiceWeights (const ServiceView& service) -> ChoiceWeights;

} // namespace snowrudder
