#pragma once

#include "../gateway/CallerScope.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace snowrudder
{

/** Input of a call to a plain service. */
struct PlainCallInput
{
    std::shared_ptr<const ServiceView> service;
    std::shared_ptr<const AccountView> account;
    RequestId id;
    /** The request as it is sent to the upstream. */
    HttpRequest request;
    bool repeatable = false;
    TimePoint deadline {};
    RequestFingerprint fingerprint;
};

/** An upstream's answer, of which the header and the first part of the body have been read. Counts as a request in
    flight at the replica until it is destroyed.
*/
class PlainAnswer
{
public:
    PlainAnswer (RouterState& routerState,
                 ReplicaTicket replicaTicket,
                 std::unique_ptr<UpstreamCall> upstreamCall)
        : state (routerState), ticket (std::move (replicaTicket)), call (std::move (upstreamCall))
    {
    }

    ~PlainAnswer() { state.replicas.release (ticket, health, BootClock::now()); }

    PlainAnswer (const PlainAnswer&) = delete;
    auto operator= (const PlainAnswer&) -> PlainAnswer& = delete;

    [[nodiscard]] auto upstream() -> UpstreamCall& { return *call; }

    /** The part of the body read so far. */
    std::string body;
    /** Health of the replica as shown by this attempt; reported when the answer is destroyed. */
    AttemptHealth health = AttemptHealth::good;

private:
    RouterState& state;
    ReplicaTicket ticket;
    std::unique_ptr<UpstreamCall> call;
};

/** @returns a new record that keeps a call's answer.

    @param contentHash  hash of method, path and body
*/
auto makeCallRecord (const PlainCallInput& input, std::uint64_t contentHash)
    -> std::shared_ptr<RequestRecord>;

using PlainResult = std::variant<std::unique_ptr<PlainAnswer>, Problem>;

/** Calls a plain service: chooses a replica, and retries on another one after a failure if the call may be retried. */
auto callPlainService (RouterState& state, Worker& worker, const PlainCallInput& input) -> Task<PlainResult>;

} // namespace snowrudder
