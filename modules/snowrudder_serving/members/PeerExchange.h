#pragma once

#include "../node/ServingState.h"
#include "DatagramCodec.h"
#include "Membership.h"
#include "PromptBudget.h"
#include "ReportRole.h"
#include "ReportRoute.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** Tells the other nodes of this one by datagrams, and takes in what they tell. It goes on while the state store is
    away; reports go only to addresses that the store named.
*/
class PeerExchange
{
public:
    PeerExchange (ServingState& servingState, const Membership& known);

    /** Starts to listen and to tell.

        @returns an error when the address can't be listened on
    */
    auto start() -> std::error_code;

    /** Tells all others of a prompt that a replica has to read, where it is large enough for the datagrams that it costs. */
    auto announce (PromptNotice notice) -> void;

private:
    using Endpoint = Membership::Endpoint;

    auto receiveLoop() -> Task<void>;
    auto handle (PeerReport report, const Endpoint& sender) -> void;
    auto respond (const StoreUpdateQuery& query, const Endpoint& sender) -> void;
    auto handle (StoreUpdateResponse response) -> void;
    auto handle (const LoadNotice& notice) -> void;
    auto sendLoop() -> Task<void>;
    [[nodiscard]] auto timeUntilNextReport (TimePoint now) const -> Duration;
    auto storeUpdateLoop() -> Task<void>;
    auto usageLoop() -> Task<void>;
    auto sendUsage (TimePoint now) -> void;
    auto sendRolloutCounts() -> void;
    auto crashLoop() -> Task<void>;
    auto sendNewCrashes (TimePoint now) -> bool;
    auto sendAllCrashes (const Endpoint& target, TimePoint now) -> void;
    [[nodiscard]] auto crashRecipients() const -> std::vector<Endpoint>;
    auto recordLoads (const std::vector<SharedLoad>& loads, bool shouldForward) -> void;
    auto sendLoads (TimePoint now) -> void;
    auto send (const std::string& datagram, const Endpoint& target) -> void;
    auto queryStoreUpdates (TimePoint now) -> void;
    auto sendToReaders (const std::string& datagram) -> void;
    auto hasPeers() const -> bool;
    auto chooseReportTargets (TimePoint now) -> std::vector<Endpoint>;
    auto makeOwnReport (TimePoint now) -> PeerReport;
    auto makeReport (ReportScope scope, std::string_view requester, TimePoint now) -> PeerReport;

    ServingState& state;
    const Membership& membership;
    asio::ip::udp::socket socket;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /** Whether the others have been told of this node once. */
    bool hasSentFirstReport = false;
    /** Whether this node told all others directly in the last round. */
    bool wasDirect = true;
    /** Ends the wait for crashes to tell of. */
    std::shared_ptr<Signal> crashWake;
    TimePoint allCrashesSentAt {};
    ReportRoute route;
    PromptBudget promptBudget;
    /** Places from which the next round goes on. */
    std::size_t nextOwnReader = 0;
    std::size_t nextOtherReader = 0;
};

} // namespace snowrudder
