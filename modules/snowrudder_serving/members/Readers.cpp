#include "Readers.h"

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>

namespace snowrudder
{

auto chooseReaders (const std::map<std::string, MemberInfo>& members) -> ReadersByDomain
{
    ReadersByDomain readers;

    for (const auto& [name, member] : members)
        readers[member.failureDomain].push_back (name);

    for (auto& [domain, names] : readers)
    {
        std::ranges::sort (names, {}, [] (const std::string& name) { return hashBytes (name); });
        names.resize (std::min (names.size(), readersPerDomain));
    }

    return readers;
}

auto formatMember (const MemberInfo& member) -> std::string
{
    return member.endpoint + " " + member.failureDomain;
}

auto parseMember (const std::string& text) -> MemberInfo
{
    const auto blank = text.find (' ');

    if (blank == std::string::npos)
        return { text, {} };

    return { text.substr (0, blank), text.substr (blank + 1) };
}

} // namespace snowrudder
