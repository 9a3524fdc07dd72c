#pragma once

#include "../members/UsageNotice.h"

#include <optional>
#include <string>

namespace snowrudder
{

/** What a reader gathers of the other nodes' usage: from each node of its failure domain, and from the other readers the sum
    of theirs. Two readers of a failure domain tell of the same nodes: the greater of their counts holds, since either may
    have missed a node's last notice. So the counts of a window come to whoever reports it over two hops, however many
    nodes there are.
*/
class UsageCollector
{
public:
    explicit UsageCollector (std::string ownFailureDomain) : ownDomain (std::move (ownFailureDomain)) {}

    /** Takes a notice in, in any order and any number of times. */
    auto record (const UsageNotice& notice) -> void;

    /** @returns the counts of all nodes of this failure domain, as this node and its other readers know them.

        @param own  this node's counts
    */
    [[nodiscard]] auto countsOfDomain (std::uint64_t window, const AccountCounts& own) const -> AccountCounts;

    /** @returns the counts of all nodes. */
    [[nodiscard]] auto countsOfAllNodes (std::uint64_t window, const AccountCounts& own) const -> AccountCounts;

    /** @returns the counts of this failure domain in the windows that end after a time.

        @param own   this node's counts
        @param time  since the start of 1970
    */
    [[nodiscard]] auto recentDomainCounts (const UsageWindows& own, Duration time) const -> CountsByWindow;

    /** @returns the oldest window in which another node is known to have run. */
    [[nodiscard]] auto oldestWindow() const -> std::optional<std::uint64_t>;

    /** Forgets windows before one. */
    auto dropBefore (std::uint64_t window) -> void;

private:
    struct Node
    {
        std::uint64_t incarnation = 0;
        CountsByWindow counts;
        /** Of its earlier starts: a restart forgets them. */
        CountsByWindow countsOfEarlierStarts;
    };

    std::string ownDomain;
    std::map<std::string, Node, std::less<>> nodes;
    std::map<std::string, CountsByWindow, std::less<>> domains;
};

/** Adds counts to counts. */
auto addCounts (AccountCounts& sum, const AccountCounts& more) -> void;

/** Raises counts to others where those are greater. */
auto mergeGreaterCounts (AccountCounts& counts, const AccountCounts& others) -> void;

} // namespace snowrudder
