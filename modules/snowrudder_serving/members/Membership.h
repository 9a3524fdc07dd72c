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

/** Keys of the state store: the prefix of the members' entries, each with its node's address for datagrams, and the key of
    the fleet's secret. A member's key is the prefix, its failure domain, a slash and its name, so that a failure domain
    can be listed by itself.
*/
inline constexpr auto memberPrefix = std::string_view ("snowrudder/members/");
inline constexpr auto secretKey = std::string_view ("snowrudder/secret");

/** @returns the endpoint that `text` gives as IP-NUMBER:PORT, or nothing if it is malformed. */
auto datagramEndpoint (std::string_view text) -> std::optional<asio::ip::udp::endpoint>;

/** Registers this node among the members in the state store, under a lease, and tracks the other members: their
    addresses for datagrams, the secret that signs these, and which nodes are readers.
*/
class Membership
{
public:
    using Endpoint = asio::ip::udp::endpoint;

    Membership (ServingState& servingState, const StateStore& stateStore);

    /** Keeps this node registered and its view of the other members up to date, in an endless loop. Its entry is renewed by
        a loop of its own: no list may delay that.
    */
    auto follow() -> Task<void>;

    /** Lists the members once if no others are known, since one may have joined after the last list. */
    auto listOthersIfNone() -> Task<void>;

    /** Applies the summary of the members in `state.storeUpdates`, which a reader sent. */
    auto applySummary() -> void;

    /** Removes this node from the members by ending its lease. */
    auto leave() -> Task<void>;

    /** The fleet's secret; empty until this node has read or created it. */
    [[nodiscard]] auto secret() const -> const std::string& { return state.fleetSecret; }

    /** The endpoints of all other nodes, in the order of their names. */
    [[nodiscard]] auto others() const -> const std::vector<Endpoint>& { return endpointsOfOthers; }

    /** The other nodes that are readers: of this node's failure domain, and of the other ones. */
    [[nodiscard]] auto ownReaders() const -> const std::vector<Endpoint>& { return readersOfDomain; }
    [[nodiscard]] auto otherReaders() const -> const std::vector<Endpoint>& { return readersElsewhere; }

    /** The other nodes that are collectors: of this node's failure domain, and of the other ones. */
    [[nodiscard]] auto ownCollectors() const -> const std::vector<Endpoint>& { return collectorsOfDomain; }
    [[nodiscard]] auto otherCollectors() const -> const std::vector<Endpoint>& { return collectorsElsewhere; }

    /** The other nodes of this node's failure domain that are not collectors. */
    [[nodiscard]] auto ownMembers() const -> const std::vector<Endpoint>& { return membersOfDomain; }

    /** The other nodes among which those are chosen that are told where streams began. In a fleet that reports to readers
        they are the readers, since not every node knows all others.
    */
    [[nodiscard]] auto streamHolderCandidates() const -> const std::vector<Endpoint>&;

private:
    auto pauseAfterFailure (TimePoint callBegan, unsigned failures) -> Task<void>;
    auto refresh() -> Task<bool>;
    auto readSecret() -> Task<void>;
    auto agreeOnSecret() -> Task<void>;
    /** @param delay  before the first call */
    auto keepJoined (Duration delay) -> Task<void>;
    /** @returns whether this node is a member */
    auto joinMembers() -> Task<bool>;
    /** @returns this node's member entry as it is stored, without its lease. */
    [[nodiscard]] auto ownEntry() const -> StoredItem;
    [[nodiscard]] auto domainPrefix() const -> std::string;
    auto startInDomain() -> Task<bool>;
    auto listMembers() -> Task<bool>;
    auto listDomain (ReadFreshness age) -> Task<bool>;
    auto listAll() -> Task<bool>;
    auto takeUpLease (const ReadItems& listed) -> void;
    auto readMembers (const ReadItems& listed) -> std::map<std::string, MemberInfo>;
    auto applyMembers (const ReadItems& listed) -> void;
    [[nodiscard]] auto listPause() -> Duration;
    auto updateReaders() -> void;

    ServingState& state;
    const StateStore& store;
    std::uint64_t lease = 0;
    TimePoint renewed {};
    /** Whether this node has listed its failure domain and registers itself. */
    bool isStarted = false;
    /** Whether the earlier process of this node had an entry that has not expired. */
    bool hasEarlierEntry = false;
    /** Lists in a row during which no reader told this node of the members. */
    unsigned listsWithoutReader = 0;
    std::vector<Endpoint> endpointsOfOthers;
    std::vector<Endpoint> allReaders;
    std::vector<Endpoint> readersOfDomain;
    std::vector<Endpoint> readersElsewhere;
    std::vector<Endpoint> collectorsOfDomain;
    std::vector<Endpoint> collectorsElsewhere;
    std::vector<Endpoint> membersOfDomain;
};

} // namespace snowrudder
