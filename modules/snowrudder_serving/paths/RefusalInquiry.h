#pragma once

#include "RelayNodes.h"

#include "snowrudder_net/client/ProbeEndpoint.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** What another node says of a replica whose address refuses this node's connections. */
enum class WitnessAnswer
{
    /** It has connected to the replica. */
    reached,
    /** The replica is listed as leaving. */
    leaving,
    /** The address refuses its connections too, while another replica accepts one. */
    refused,
    /** It could not connect to the replica, and nothing shows that its own paths are open. */
    unverified,
    /** It did not try, or did not respond. */
    none
};

/** What other nodes have said so far of a replica whose address refuses this node's connections. Nodes that share a fault
    are refused by all replicas alike, so a refusal counts only from a node that reaches another replica. A node that is losing
    its paths one after the other still reaches some, so a single node's word is not enough.
*/
struct RefusalInquiry
{
    /** Whether this node lists no other replica, so that no node can verify its paths by one. */
    bool isOnlyReplica = false;
    std::vector<RelayNodes::Endpoint> asked;
    /** Whether no other node is left to ask. */
    bool hasAskedAll = false;
    std::size_t refusals = 0;
    bool hasUnverified = false;
    /** The answer that ends the inquiry. */
    std::optional<WitnessAnswer> decisive;
};

/** Number of nodes whose refusals prove a crash; all of them where fewer can be asked. */
inline constexpr auto neededRefusals = std::size_t { 2 };

/** Number of nodes that are asked at most. Where half of the fleet is cut off, one of 28 inquiries finds fewer than two nodes
    that are not.
*/
inline constexpr auto maxWitnesses = std::size_t { 8 };

/** Number of other replicas by which a node verifies its own paths. Some of them may have ended too. */
inline constexpr auto maxVerifyingReplicas = std::size_t { 4 };

/** @returns the answer of a node whose own connection to the replica failed.

    @param isRefused            whether its connection was refused; it fails in other ways for want of a path
    @param reachesOtherReplica  whether another replica accepted a connection that it began afterwards
*/
constexpr auto witnessOf (bool isRefused, bool reachesOtherReplica) -> WitnessAnswer
{
    return isRefused && reachesOtherReplica ? WitnessAnswer::refused : WitnessAnswer::unverified;
}

auto recordWitness (RefusalInquiry& inquiry, const RelayNodes::Endpoint& node, WitnessAnswer answer) -> void;

/** @returns how many other nodes to ask now, at the same time; 0 where the inquiry is over. */
[[nodiscard]] auto neededWitnesses (const RefusalInquiry& inquiry) -> std::size_t;

/** @returns what is known of the address after the inquiry: `refuses` is proved; `silent` proves nothing. */
[[nodiscard]] auto resultOf (const RefusalInquiry& inquiry) -> EndpointState;

/** @returns the answer that says most of those received, for the log. */
[[nodiscard]] auto answerOf (const RefusalInquiry& inquiry) -> WitnessAnswer;

/** @returns the answer's name as log lines have it. */
auto toString (WitnessAnswer answer) -> std::string_view;

} // namespace snowrudder
