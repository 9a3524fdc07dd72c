#pragma once

#include "../node/ServingState.h"
#include "../store/StateStore.h"
#include "Readers.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** Keys under which nodes note their address for datagrams, and the fleet's secret; both lie below the first. */
inline constexpr auto sharedPrefix = std::string_view ("snowrudder/");
inline constexpr auto memberPrefix = std::string_view ("snowrudder/members/");
inline constexpr auto secretKey = std::string_view ("snowrudder/secret");

/** @returns the address of IP-NUMBER:PORT text, or nothing where it is none. */
auto datagramEndpoint (std::string_view text) -> std::optional<asio::ip::udp::endpoint>;

/** Enters this node among the members in the state store, under a lease, and keeps up with the others: where their
    datagrams go, the secret that signs them, and which nodes read the store for the others.
*/
class Membership
{
public:
    using Endpoint = asio::ip::udp::endpoint;

    Membership (ServingState& servingState, const StateStore& stateStore);

    /** Enters this node and lists the others, for ever. */
    auto follow() -> Task<void>;

    /** Lists the others once where this node knows none: one may have started since it last looked. */
    auto listOthersIfNone() -> Task<void>;

    /** Takes this node out of the members. */
    auto leave() -> Task<void>;

    /** Empty until the nodes have agreed on one. */
    [[nodiscard]] auto secret() const -> const std::string& { return state.fleetSecret; }

    /** The other nodes, in the order of their names. */
    [[nodiscard]] auto others() const -> const std::vector<Endpoint>& { return endpointsOfOthers; }

    /** The other nodes that read the store: in this node's failure domain, and elsewhere. */
    [[nodiscard]] auto ownReaders() const -> const std::vector<Endpoint>& { return readersOfDomain; }
    [[nodiscard]] auto otherReaders() const -> const std::vector<Endpoint>& { return readersElsewhere; }

    /** The other nodes of this node's failure domain that don't read the store. */
    [[nodiscard]] auto ownMembers() const -> const std::vector<Endpoint>& { return membersOfDomain; }

private:
    auto refresh() -> Task<bool>;
    auto readSharedKeys() -> Task<void>;
    auto agreeOnSecret() -> Task<void>;
    auto joinMembers() -> Task<void>;
    /** @returns the item of the store that names this node, without its lease. */
    [[nodiscard]] auto ownEntry() const -> StoredItem;
    auto applyMembers (const std::vector<StoredItem>& listed) -> void;
    [[nodiscard]] auto listPause() const -> Duration;
    auto updateReaders (const std::map<std::string, MemberInfo>& members,
                      const std::map<std::string, Endpoint>& endpoints) -> void;

    ServingState& state;
    const StateStore& store;
    std::uint64_t lease = 0;
    TimePoint renewed {};
    std::vector<Endpoint> endpointsOfOthers;
    std::vector<Endpoint> readersOfDomain;
    std::vector<Endpoint> readersElsewhere;
    std::vector<Endpoint> membersOfDomain;
};

} // namespace snowrudder
