#pragma once

#include "../state/RouterState.h"

#include "snowrudder_net/snowrudder_net.h"

#include <memory>
#include <string>

namespace snowrudder
{

/** One caller's request once its account is known. */
struct CallerScope
{
    RequestId id;
    std::shared_ptr<const FleetView> fleet;
    std::shared_ptr<const AccountView> account;
};

/** Answers with a problem and counts it.

    @param requestId  may be empty
*/
auto respondProblem (RouterState& state,
                     Exchange& exchange,
                     const Problem& problem,
                     std::string_view requestId) -> Task<void>;

/** @returns the same answer for what never became a request. */
auto rejectionResponse (RouterState& state, ErrorKind kind) -> HttpResponse;

/** Reads `Idempotency-Key`: empty where the caller gave none.

    @returns a problem when it is no UUIDv7
*/
auto readIdempotencyKey (const Exchange& exchange) -> std::variant<std::string, Problem>;

/** Counts an account's request in, and out again at its end. */
class AccountAdmission
{
public:
    /** @param problem  set when the account's limits don't allow the request */
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

/** @returns why a request is refused as it comes, where it ended the replicas that ran it. */
auto checkCrashVerdict (RouterState& state, const RequestFingerprint& fingerprint, std::string_view requestId)
    -> std::optional<Problem>;

/** @returns a problem for a request that got no place in the queue. */
auto overloadProblem (const ServiceQueues::Place& permit) -> Problem;

/** Writes the log line of a routing decision. */
auto logRoutingDecision (std::string_view requestId,
                         std::string_view account,
                         const TakenReplica& taken,
                         std::uint32_t attempt) -> void;

/** @returns until when a request may wait for its turn before a service's upstreams.

    @param deadline  of the whole request
*/
auto queueDeadline (const ServiceView& service, TimePoint now, TimePoint deadline) -> TimePoint;

/** @returns the weights of a service's choices, from its settings. */
auto choiceWeights (const ServiceView& service) -> ChoiceWeights;

} // namespace snowrudder
