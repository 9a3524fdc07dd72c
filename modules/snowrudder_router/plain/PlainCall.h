#pragma once

#include "../gateway/CallerScope.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace snowrudder
{

/** What a call to a plain service needs. */
struct PlainCallInput
{
    std::shared_ptr<const ServiceView> service;
    std::shared_ptr<const AccountView> account;
    RequestId id;
    /** As it goes to the upstream. */
    HttpRequest request;
    bool repeatable = false;
    TimePoint deadline {};
    RequestFingerprint fingerprint;
};

/** An upstream's answer, its header and the first part of its body read. Holds its place in the replica's count. */
class PlainAnswer
{
public:
    PlainAnswer (RouterState& routerState,
                 ReplicaTicket replicaTicket,
                 std::unique_ptr<UpstreamCall> upstreamCall)
        : state (routerState), ticket (std::move (replicaTicket)), call (std::move (upstreamCall))
    {
    }

    ~PlainAnswer() { state.replicas.release (ticket, health, SteadyClock::now()); }

    PlainAnswer (const PlainAnswer&) = delete;
    auto operator= (const PlainAnswer&) -> PlainAnswer& = delete;

    [[nodiscard]] auto upstream() -> UpstreamCall& { return *call; }

    /** The part of the body read so far. */
    std::string body;
    /** What the answer says of its replica. */
    AttemptHealth health = AttemptHealth::good;

private:
    RouterState& state;
    ReplicaTicket ticket;
    std::unique_ptr<UpstreamCall> call;
};

/** @returns the record of a call that is kept for its key.

    @param contentHash  of method, path and body
*/
auto makeCallRecord (const PlainCallInput& input, std::uint64_t contentHash)
    -> std::shared_ptr<RequestRecord>;

using PlainResult = std::variant<std::unique_ptr<PlainAnswer>, Problem>;

/** Calls a plain service: chooses a replica, and another one after a failure where the call allows it. */
auto callPlainService (RouterState& state, Worker& worker, const PlainCallInput& input) -> Task<PlainResult>;

} // namespace snowrudder
