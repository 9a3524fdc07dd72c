#include "AnswerTally.h"

namespace snowrudder
{

namespace
{

// The name of a count consists of its group, the answer's quality, and the route or replica.
constexpr auto ofTarget = 't';
constexpr auto ofOthers = 'o';
constexpr auto ofReplica = 'r';
constexpr auto nameStart = std::size_t { 2 };

auto codeOf (AnswerQuality quality) -> char
{
    switch (quality)
    {
        case AnswerQuality::slow:
            return 's';
        case AnswerQuality::failed:
            return 'f';
        case AnswerQuality::good:
            break;
    }

    return 'g';
}

auto countName (char group, AnswerQuality quality, std::string_view what) -> std::string
{
    std::string name { group, codeOf (quality) };
    name += what;
    return name;
}

auto add (AnswerTally& tally, char quality, std::uint64_t count) -> void
{
    tally.answers += count;
    tally.failed += quality == codeOf (AnswerQuality::failed) ? count : 0;
    tally.slow += quality == codeOf (AnswerQuality::slow) ? count : 0;
}

} // namespace

auto recordAnswer (NamedCounts& counts,
                   bool isTarget,
                   std::string_view route,
                   std::string_view replica,
                   AnswerQuality quality) -> void
{
    ++counts[countName (isTarget ? ofTarget : ofOthers, quality, route)];

    if (isTarget)
        ++counts[countName (ofReplica, quality, replica)];
}

auto readTallies (const NamedCounts& counts) -> VersionTallies
{
    VersionTallies tallies;

    for (const auto& [name, count] : counts)
    {
        if (name.size() < nameStart)
            continue;

        const auto what = name.substr (nameStart);

        if (name.front() == ofTarget)
            add (tallies.target[what], name[1], count);
        else if (name.front() == ofOthers)
            add (tallies.others[what], name[1], count);
        else if (name.front() == ofReplica)
            add (tallies.replicas[what], name[1], count);
    }

    return tallies;
}

auto sumOf (const std::map<std::string, AnswerTally, std::less<>>& tallies) -> AnswerTally
{
    AnswerTally sum;

    for (const auto& [name, tally] : tallies)
    {
        sum.answers += tally.answers;
        sum.failed += tally.failed;
        sum.slow += tally.slow;
    }

    return sum;
}

} // namespace snowrudder
