#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snowrudder
{

/** A node's entry among the members. */
struct MemberInfo
{
    /** Address for datagrams, as IP-NUMBER:PORT. */
    std::string endpoint;
    std::string failureDomain;
};

/** Names of the readers, by failure domain. A reader reads the state store for the other nodes of its failure domain. The
    first `collectorsPerDomain` of each are its collectors.
*/
using ReadersByDomain = std::map<std::string, std::vector<std::string>>;

/** The smallest number of readers in a failure domain that has so many nodes. With a single one, its loss would leave the
    other nodes without store updates until they detect it.
*/
inline constexpr auto minReadersPerDomain = std::size_t { 2 };

/** The number of nodes for each reader of a large failure domain. Each node sends a reader's domain five queries a second,
    and gets some 10 KB a second in response: 32 of them take a reader 2.6 Mbit/s and some hundredths of a core.
*/
inline constexpr auto nodesPerReader = std::size_t { 32 };

/** The number of readers in each failure domain that also collect reports, usage and crash evidence, and may hold the
    duties. All collectors exchange their sums, so that their number must not grow with the failure domain.
*/
inline constexpr auto collectorsPerDomain = std::size_t { 2 };

/** The largest failure domain whose nodes all list the members of the whole fleet. In a larger one only readers do; the
    other nodes list their own failure domain once, to find its readers, and ask these for all else: if each of 986 nodes
    listed all members as it starts, these lists alone would fill the store's link for more than a second.
*/
inline constexpr auto maxFullyListedDomain = std::size_t { 64 };

/** A reader, as the other nodes have to know it. */
struct ReaderInfo
{
    /** Address for datagrams, as IP-NUMBER:PORT. */
    std::string endpoint;
    std::string failureDomain;
    bool isCollector = false;

    auto operator== (const ReaderInfo&) const -> bool = default;
};

/** What a node has to know of a list of all members. In a large fleet readers send it to the other nodes when it changes:
    if each of 986 nodes listed all members whenever one of them joined or left, every change would take 156 MB.
*/
struct MembersSummary
{
    /** The store's revision of the list; 0 while there is none. */
    std::uint64_t revision = 0;
    /** Hash of the list. */
    std::uint64_t hash = 0;
    std::size_t count = 0;
    std::vector<ReaderInfo> readers;
};

/** @returns the number of readers of a failure domain. */
inline auto readerCount (std::size_t nodes) -> std::size_t
{
    const auto bySize = (nodes + nodesPerReader - 1) / nodesPerReader;
    return std::min (nodes, std::max (minReadersPerDomain, bySize));
}

/** Chooses the readers. Nodes with the same list of members choose the same readers without coordination.

    @param members  by the node's name
*/
auto chooseReaders (const std::map<std::string, MemberInfo>& members) -> ReadersByDomain;

/** @returns the readers of all failure domains, as chosen by chooseReaders(). */
auto readersOf (const std::map<std::string, MemberInfo>& members) -> std::vector<ReaderInfo>;

/** Replaces the readers of one failure domain in a summary by those that the members of that failure domain choose. Until
    the summary of a whole list is known, it also gets an estimate of the fleet's size.

    @param members      of the failure domain, by the node's name
    @param domainCount  number of failure domains of the fleet
*/
auto applyDomainMembers (MembersSummary& summary,
                         const std::string& domain,
                         const std::map<std::string, MemberInfo>& members,
                         std::size_t domainCount) -> void;

/** @returns the stored text of a member's entry. */
auto formatMember (const MemberInfo& member) -> std::string;

/** @returns the member's entry in a stored text. Its failure domain is empty if the text has none. */
auto parseMember (const std::string& text) -> MemberInfo;

} // namespace snowrudder
