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
        names.resize (readerCount (names.size()));
    }

    return readers;
}

auto readersOf (const std::map<std::string, MemberInfo>& members) -> std::vector<ReaderInfo>
{
    std::vector<ReaderInfo> readers;

    for (const auto& [domain, names] : chooseReaders (members))
        for (auto rank = std::size_t { 0 }; rank < names.size(); ++rank)
            readers.push_back ({ members.at (names[rank]).endpoint, domain, rank < collectorsPerDomain });

    return readers;
}

auto applyDomainMembers (MembersSummary& summary,
                         const std::string& domain,
                         const std::map<std::string, MemberInfo>& members,
                         std::size_t domainCount) -> void
{
    std::erase_if (summary.readers,
                   [&domain] (const ReaderInfo& reader) { return reader.failureDomain == domain; });

    for (auto& reader : readersOf (members))
        summary.readers.push_back (std::move (reader));

    if (summary.revision == 0)
        summary.count = members.size() * domainCount;
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
