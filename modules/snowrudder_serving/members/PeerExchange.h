#pragma once

#include "../node/ServingState.h"
#include "../streams/StreamExchange.h"
#include "DatagramCodec.h"
#include "Membership.h"
#include "PromptBudget.h"
#include "ReportRole.h"
#include "ReportRoute.h"
#include "ReportSelection.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** Exchanges datagrams with the other nodes: reports, store updates, loads, usage and crash notices. It continues while
    the state store is unreachable; datagrams that aren't responses go only to addresses that were read from the store.
*/
class PeerExchange
{
public:
    using Endpoint = Membership::Endpoint;

    PeerExchange (ServingState& servingState, Membership& fleetMembership);

    /** Binds the socket and starts to receive and send.

        @returns an error if the address can't be bound
    */
    auto start() -> std::error_code;

    /** Announces a prompt that a replica has to process to all other nodes, if PromptBudget permits it for a prompt of
        its size.
    */
    auto announce (PromptNotice notice) -> void;

    /** Tells other nodes which configuration this node holds: the readers if it was read at the store, and if this node is
        a reader its part of the members.
    */
    auto announceConfiguration() -> void;

    /** Tells a node that relayed a connection that the replica asked for rest. */
    auto passOnRest (const Endpoint& node, RestNotice notice) -> void;

    /** The messages on streams, which use the same socket. */
    [[nodiscard]] auto streams() -> StreamExchange& { return streamExchange; }

private:
    auto receiveLoop() -> Task<void>;
    auto handle (PeerReport report, const Endpoint& sender) -> void;
    auto recordRelayNodes (const PeerReport& report, const Endpoint& sender, TimePoint now) -> void;
    auto respond (const StoreUpdateQuery& query, const Endpoint& sender) -> void;
    auto handle (StoreUpdateResponse response, const Endpoint& sender) -> void;
    auto handle (const LoadNotice& notice) -> void;
    auto handle (const LeavingNotice& notice) -> void;
    auto handle (const RestNotice& notice) -> void;
    auto handle (ConfigurationPart part, const Endpoint& sender) -> void;
    auto configurationLoop() -> Task<void>;
    auto queryConfiguration (TimePoint now) -> void;
    auto sendLoop() -> Task<void>;
    [[nodiscard]] auto timeUntilNextReport (TimePoint now) const -> Duration;
    auto storeUpdateLoop() -> Task<void>;
    auto usageLoop() -> Task<void>;
    auto sendUsage (TimePoint now) -> void;
    auto sendRolloutCounts() -> void;
    auto newsLoop() -> Task<void>;
    auto sendNewCrashes() -> bool;
    auto sendLeavingNews (TimePoint now) -> bool;
    auto sendAllCrashes (const Endpoint& target, TimePoint now) -> void;
    [[nodiscard]] auto newsRecipients() const -> std::vector<Endpoint>;
    auto recordLoads (const std::vector<SharedLoad>& loads, bool shouldForward) -> void;
    auto sendLoads (TimePoint now) -> void;
    auto send (const std::string& datagram, const Endpoint& target) -> void;
    auto sendTo (const std::vector<Endpoint>& targets, const NodeMessage& message) -> void;
    auto sendToReaders (const NodeMessage& message) -> void;
    auto sendToCollectors (const NodeMessage& message) -> void;
    auto queryStoreUpdates (TimePoint now) -> void;
    auto sendQuery (const Endpoint& reader, TimePoint now) -> void;
    auto hasPeers() const -> bool;
    auto chooseReportTargets (TimePoint now) -> std::vector<Endpoint>;
    auto makeOwnReport (TimePoint now, const AccountSelection& selection) -> PeerReport;
    auto makeReport (ReportScope scope,
                     std::string_view requester,
                     TimePoint now,
                     const AccountSelection& selection = {}) -> PeerReport;
    auto makeResponse (ReportScope scope, const PeerReport& report, bool isFirst, TimePoint now)
        -> PeerReport;

    ServingState& state;
    Membership& membership;
    asio::ip::udp::socket socket;
    StreamExchange streamExchange;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /** Whether the first report was sent. */
    bool hasSentFirstReport = false;
    /** This node's role in the last round. */
    ReportRole lastRole = ReportRole::direct;
    /** Wakes newsLoop() when there is new crash evidence, or another node's news of a replica that is leaving. */
    std::shared_ptr<Signal> newsWake;
    TimePoint allCrashesSentAt = longAgo;
    ReportRoute route;
    PromptBudget promptBudget;
    ReportedTotals reportedTotals;
    /** Round-robin positions among the readers that are queried for store updates. They begin at random, since all nodes
        that start together would ask the same reader first, and go on with it.
    */
    std::size_t nextOwnReader = randomNumber();
    std::size_t nextOtherReader = randomNumber();
};

} // namespace snowrudder
