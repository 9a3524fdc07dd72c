#pragma once

#include "../node/ServingState.h"
#include "../store/StateStore.h"
#include "DatagramCodec.h"
#include "Readers.h"

#include <map>
#include <string>

namespace snowrudder
{

/** Keys under which nodes note their address for datagrams, and the fleet's secret. */
inline constexpr auto memberPrefix = std::string_view ("snowrudder/members/");
inline constexpr auto secretKey = std::string_view ("snowrudder/secret");

/** Tells the other nodes of this one by datagrams, and takes in what they tell. Nodes find each other through the state
    store and go on exchanging while it is away; an address that is not in the store is never sent to.
*/
class PeerExchange
{
public:
    PeerExchange (ServingState& servingState, const StateStore& stateStore);

    /** Starts to listen, to tell and to look for members.

        @returns an error when the address can't be listened on
    */
    auto start() -> std::error_code;

    /** Takes this node out of the members. */
    auto leave() -> Task<void>;

private:
    using Endpoint = asio::ip::udp::endpoint;

    auto receiveLoop() -> Task<void>;
    auto take (PeerReport report) -> void;
    auto answer (const NewsQuestion& question, const Endpoint& sender) -> void;
    auto take (NewsAnswer answer) -> void;
    auto sendLoop() -> Task<void>;
    auto newsLoop() -> Task<void>;
    auto takeLoads (const std::vector<SharedLoad>& loads, bool isToTell) -> void;
    auto tellLoads (TimePoint now) -> void;
    auto send (const std::string& datagram, const Endpoint& target) -> void;
    auto askForNews (TimePoint now) -> void;
    auto membersLoop() -> Task<void>;
    auto followMembers() -> Task<bool>;
    auto agreeOnSecret() -> Task<void>;
    auto joinMembers() -> Task<void>;
    auto takeMembers (const ReadItems& listed) -> void;
    auto noteReaders() -> void;
    auto chooseTargets() -> std::vector<Endpoint>;
    auto ownReport() -> PeerReport;

    ServingState& state;
    const StateStore& store;
    asio::ip::udp::socket socket;
    std::string secret;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t lease = 0;
    TimePoint renewed {};
    /** The other nodes. */
    std::map<std::string, Endpoint> members;
    /** Failure domains of all nodes, this one included. */
    std::map<std::string, MemberInfo> known;
    /** Readers of the own failure domain and of the others, this node left out. */
    std::vector<Endpoint> ownReaders;
    std::vector<Endpoint> otherReaders;
    /** Places from which the next round goes on. */
    std::size_t nextTarget = 0;
    std::size_t nextOwnReader = 0;
    std::size_t nextOtherReader = 0;
};

} // namespace snowrudder
