#pragma once

#include "../duties/UsageWindows.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snowrudder
{

/** What a node tells the others of itself, some times a second. */
struct PeerReport
{
    std::string node;
    std::string failureDomain;
    /** Rises with each start of the node's process. */
    std::uint64_t incarnation = 0;
    /** Rises with each report. */
    std::uint64_t sequence = 0;
    /** Revision of its configuration, and how old its proof was when it sent the report. */
    std::uint64_t configurationRevision = 0;
    Duration proofAge {};
    bool leaving = false;
    /** Tokens a second that it was asked for, by client account. */
    std::map<std::string, double, std::less<>> demand;
    /** Prompt tokens a second that it sent to replicas, by service. */
    std::map<std::string, double, std::less<>> work;
    /** Its counts of requests that began to run, by window. */
    std::map<std::uint64_t, AccountCounts> usage;
};

/** What this node heard of the others. A report never goes back: late and doubled ones change nothing. */
class PeerTable
{
public:
    /** Takes a report in.

        @returns false when it is older than what is known
    */
    auto note (PeerReport report, TimePoint now) -> bool;

    /** @returns nodes heard of within `heardTime`. */
    [[nodiscard]] auto countHeard (TimePoint now) const -> std::size_t;

    /** @returns tokens a second that the other nodes were asked for by an account, all together. */
    [[nodiscard]] auto demand (const std::string& account, TimePoint now) const -> double;

    /** @returns prompt tokens a second that the other nodes sent to a service's replicas. */
    [[nodiscard]] auto work (const std::string& service, TimePoint now) const -> double;

    /** Adds the other nodes' counts of a window. Those of nodes that died count too. */
    auto addUsage (std::uint64_t window, AccountCounts& counts) const -> void;

    /** Forgets counts of windows before one. */
    auto dropUsageBefore (std::uint64_t window) -> void;

    /** A node that was silent for so long no longer counts among those that share limits. */
    static constexpr auto heardTime = Duration (2s);

private:
    struct Peer
    {
        PeerReport latest;
        TimePoint heard {};
        /** Counts of its earlier incarnations: a restart forgets its own. */
        std::map<std::uint64_t, AccountCounts> earlierUsage;
    };

    std::map<std::string, Peer, std::less<>> peers;
};

/** Adds counts to counts. */
auto addCounts (AccountCounts& sum, const AccountCounts& more) -> void;

} // namespace snowrudder
