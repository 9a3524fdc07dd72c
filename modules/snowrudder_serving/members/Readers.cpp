#include "Readers.h"

#include "ReportTimes.h"

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
        names.resize (std::min (names.size(), readersADomain));
    }

    return readers;
}

auto chooseStoreReaders (const ReadersByDomain& readers, std::size_t nodes) -> std::vector<std::string>
{
    std::vector<std::string> chosen;
    const auto most = reportsToReaders (nodes) ? mostStoreReaders : nodes;

    // One of each failure domain before the second of any.
    for (auto place = std::size_t { 0 }; place < readersADomain; ++place)
        for (const auto& [domain, names] : readers)
            if (place < names.size() && chosen.size() < most)
                chosen.push_back (names[place]);

    return chosen;
}

auto writeMember (const MemberInfo& member) -> std::string
{
    return member.endpoint + " " + member.failureDomain;
}

auto readMember (const std::string& text) -> MemberInfo
{
    const auto blank = text.find (' ');

    if (blank == std::string::npos)
        return { text, {} };

    return { text.substr (0, blank), text.substr (blank + 1) };
}

} // namespace snowrudder
