#pragma once

#include "../members/UsageNotice.h"

#include <optional>
#include <string>

namespace snowrudder
{

/** Collects the usage of the other nodes at a reader: the counts of each node of its failure domain, and from the other
    readers the sums of theirs. Two readers of a failure domain report the same nodes; the greater count is used, since
    either reader may have missed a node's last notice. The counts of a window thus reach the node that reports it over
    two hops, independent of the number of nodes.
*/
class UsageCollector
{
public:
    explicit UsageCollector (std::string ownFailureDomain) : ownDomain (std::move (ownFailureDomain)) {}

    /** Records a notice. Notices that arrive out of order or twice are handled correctly. */
    auto record (const UsageNotice& notice) -> void;

    /** @returns the counts of all nodes of this failure domain, as received by this node and the other readers in it.

        @param own  this node's counts
    */
    [[nodiscard]] auto countsOfDomain (std::uint64_t window, const AccountCounts& own) const -> AccountCounts;

    /** @returns the counts of all nodes. */
    [[nodiscard]] auto countsOfAllNodes (std::uint64_t window, const AccountCounts& own) const
        -> AccountCounts;

    /** @returns the counts of this failure domain in the windows that end after a time.

        @param own   this node's counts
        @param time  since the start of 1970
    */
    [[nodiscard]] auto recentDomainCounts (const UsageWindows& own, Duration time) const -> CountsByWindow;

    /** @returns the oldest window in which another node is known to have run. */
    [[nodiscard]] auto oldestWindow() const -> std::optional<std::uint64_t>;

    /** Removes the windows before a given one. */
    auto dropBefore (std::uint64_t window) -> void;

private:
    struct Node
    {
        std::uint64_t incarnation = 0;
        CountsByWindow counts;
        /** Sums over the node's earlier starts, since a restart resets its counts. */
        CountsByWindow countsOfEarlierStarts;
    };

    std::string ownDomain;
    std::map<std::string, Node, std::less<>> nodes;
    std::map<std::string, CountsByWindow, std::less<>> domains;
};

/** Adds counts to a sum. */
auto addCounts (AccountCounts& sum, const AccountCounts& more) -> void;

/** Raises counts to those of others where these are greater. */
auto mergeGreaterCounts (AccountCounts& counts, const AccountCounts& others) -> void;

} // namespace snowrudder
