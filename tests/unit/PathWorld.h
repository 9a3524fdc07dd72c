#pragma once

#include "snowrudder_serving/paths/RefusalInquiry.h"
#include "snowrudder_serving/paths/RelayNodes.h"
#include "snowrudder_serving/paths/ReplicaPaths.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace snowrudder::tests
{

/** How new connections behave on a path that is cut. */
enum class CutKind
{
    hang,
    refused,
    /** Accepted, and reset when the request has been sent. */
    reset
};

/** A fleet whose nodes are cut off from all replicas, in virtual time. Requests use new connections only. */
class PathWorld
{
public:
    PathWorld (std::size_t nodeCount, std::uint64_t seed);

    /** Cuts nodes off at a time, until another.

        @param spread  time from the cut of a node's first path to that of its last one
    */
    auto cut (const std::vector<std::size_t>& cutNodes,
              CutKind kind,
              Duration from,
              Duration until,
              Duration spread = {}) -> void;

    /** Ends a node's process at a time. */
    auto stop (std::size_t node, Duration from) -> void;

    /** Ends replicas at a time, so that their addresses refuse all nodes. Some nodes have an answer from each in flight. */
    auto endReplicas (std::uint32_t first, std::uint32_t count, Duration from) -> void;

    auto run (Duration length) -> void;

    /** A proof that a replica has crashed, which all nodes believe. */
    struct CrashProof
    {
        std::uint32_t replica = 0;
        /** When the answer ended that the node had in flight. */
        Duration noticed {};
        Duration proved {};
        bool isTrue = false;
    };

    [[nodiscard]] auto crashProofs() const -> const std::vector<CrashProof>& { return proofs; }

    /** @returns the share of the requests that nodes received in a time and served, of those nodes for which `isWanted` */
    [[nodiscard]] auto servedShare (Duration from,
                                    Duration until,
                                    const std::function<bool (std::size_t)>& isWanted) const -> double;

    [[nodiscard]] auto lostNodes() const -> std::size_t;
    /** @returns the connections that each node has relayed. */
    [[nodiscard]] auto relayed() const -> const std::vector<std::size_t>& { return relayedConnections; }
    [[nodiscard]] auto mostRelayNodesKnown() const -> std::size_t;

    [[nodiscard]] static auto domainOf (std::size_t node) -> std::size_t { return node % domains; }

    static constexpr auto domains = std::size_t { 4 };
    /** Time between two requests that a node receives. */
    static constexpr auto requestInterval = Duration (120ms);

private:
    struct Node
    {
        ReplicaPaths paths;
        RelayNodes relays;
        bool isStopped = false;
        std::optional<CutKind> cut;
        Duration cutFrom {};
        Duration cutSpread {};
        /** When replicas were told to have crashed. */
        std::map<std::uint32_t, Duration> toldEnded;
    };

    struct Request
    {
        std::size_t node = 0;
        Duration received {};
        int attempts = 0;
        /** The replica of the current attempt. */
        std::uint32_t replica = 0;
        bool isServed = false;
    };

    struct Event
    {
        Duration time {};
        std::uint64_t order = 0;
        std::function<void()> action;
    };

    struct Later
    {
        auto operator() (const Event& first, const Event& second) const -> bool
        {
            return std::pair (first.time, first.order) > std::pair (second.time, second.order);
        }
    };

    auto at (Duration time, std::function<void()> action) -> void;
    [[nodiscard]] auto now() const -> TimePoint;
    [[nodiscard]] auto isReader (std::size_t node) const -> bool;
    [[nodiscard]] auto isDelivered() -> bool;
    auto receive (std::size_t node) -> void;
    auto attempt (std::size_t request) -> void;
    auto attemptThroughRelay (std::size_t request, int triesLeft) -> void;
    auto retry (std::size_t request, Duration delay) -> void;
    [[nodiscard]] auto chooseReplica (std::size_t node) -> std::optional<std::uint32_t>;
    [[nodiscard]] auto canConnect (std::size_t node, std::uint32_t replica) const -> bool;
    [[nodiscard]] auto isPathCut (const Node& node, std::uint32_t replica) const -> bool;
    /** Looks why an answer of a replica has ended. */
    auto examine (std::size_t node, std::uint32_t replica) -> void;
    /** An inquiry about a replica, and how many nodes have still to answer. */
    struct Inquiry
    {
        std::size_t node = 0;
        std::uint32_t replica = 0;
        Duration noticed {};
        std::size_t outstanding = 0;
        RefusalInquiry answers {};
    };

    auto askWitnesses (const std::shared_ptr<Inquiry>& inquiry) -> void;
    auto recordAnswer (const std::shared_ptr<Inquiry>& inquiry, const RelayNodes::Endpoint& asked) -> void;
    /** @returns what a node says that was asked about a replica. */
    [[nodiscard]] auto witness (std::size_t node, std::uint32_t replica) -> WitnessAnswer;
    auto endInquiry (std::uint32_t replica, Duration noticed, const RefusalInquiry& inquiry) -> void;
    auto report (std::size_t node) -> void;
    auto deliver (std::size_t sender, std::size_t receiver, const std::vector<RelayNodes::Endpoint>& passedOn)
        -> void;
    auto probe (std::size_t node) -> void;
    [[nodiscard]] static auto endpointOf (std::size_t node) -> RelayNodes::Endpoint;

    std::mt19937_64 random;
    std::vector<Node> nodes;
    std::vector<Request> requests;
    std::vector<std::size_t> relayedConnections;
    std::set<std::uint32_t> endedReplicas;
    std::vector<CrashProof> proofs;
    std::priority_queue<Event, std::vector<Event>, Later> events;
    std::uint64_t nextOrder = 0;
    Duration time {};
};

} // namespace snowrudder::tests
