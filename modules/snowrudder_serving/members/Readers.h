#pragma once

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

/** Names of the readers, by failure domain. A reader reads the state store for the other nodes of its failure domain.
*/
using ReadersByDomain = std::map<std::string, std::vector<std::string>>;

/** Number of readers in each failure domain. With a single one, its loss would leave the other nodes without store
    updates until they detect it.
*/
inline constexpr auto readersPerDomain = std::size_t { 2 };

/** Chooses the readers. Nodes with the same list of members choose the same readers without coordination.

    @param members  by the node's name
*/
auto chooseReaders (const std::map<std::string, MemberInfo>& members) -> ReadersByDomain;

/** @returns the stored text of a member's entry. */
auto formatMember (const MemberInfo& member) -> std::string;

/** @returns the member's entry in a stored text. Its failure domain is empty if the text has none. */
auto parseMember (const std::string& text) -> MemberInfo;

} // namespace snowrudder
