#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snowrudder
{

/** A node as it enters itself among the members. */
struct MemberInfo
{
    /** IP-NUMBER:PORT for datagrams. */
    std::string endpoint;
    std::string failureDomain;
};

/** The nodes that read the state store for the others of their failure domain, by failure domain. */
using ReadersByDomain = std::map<std::string, std::vector<std::string>>;

/** Readers in each failure domain: with one alone, its loss would leave the others without news until they notice. */
inline constexpr auto readersPerDomain = std::size_t { 2 };

/** Chooses the readers. All nodes that know the same members choose the same ones without talking.

    @param members  by the node's name
*/
auto chooseReaders (const std::map<std::string, MemberInfo>& members) -> ReadersByDomain;

/** @returns the text under which a node enters itself. */
auto formatMember (const MemberInfo& member) -> std::string;

/** @returns a member's entry as it was written; without a failure domain where the text has none. */
auto parseMember (const std::string& text) -> MemberInfo;

} // namespace snowrudder
