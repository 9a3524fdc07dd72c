#include "FatalRequests.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace snowrudder
{

namespace
{

/** A request under which replicas ended, while it is judged. */
struct Suspect
{
    const CrashEvidence* evidence = nullptr;
    std::vector<ReplicaCrash> counted;
    std::optional<TimePoint> decided;
};

/** Who ran on a replica as it ended. */
struct CrashParticipant
{
    std::size_t suspect = 0;
    ReplicaCrash crash;
};

using ParticipantsByReplica = std::unordered_map<std::uint64_t, std::vector<CrashParticipant>>;

/** What speaks against a request. */
struct CrashScore
{
    /** Crashes, those that another request may have caused as well for a part; none that a fatal request explains. */
    double crashes = 0.0;
    /** When there were enough crashes that nothing else explains, and when enough of all together. */
    std::optional<TimePoint> byOwn;
    std::optional<TimePoint> byAll;
};

auto scoreCrashes (std::size_t index,
                   const std::vector<Suspect>& suspects,
                   const ParticipantsByReplica& sharers) -> CrashScore
{
    CrashScore weighing;
    const auto& own = suspects[index];
    auto ownCrashes = std::size_t { 0 };
    auto aloneCrashes = std::size_t { 0 };
    auto counted = std::size_t { 0 };

    for (const auto& crash : own.counted)
    {
        auto isExplained = false;
        auto isContested = false;
        auto isAlone = true;

        for (const auto& sharer : sharers.at (crash.replica))
        {
            if (sharer.suspect == index || ! isSameCrash (sharer.crash, crash))
                continue;

            const auto& other = suspects[sharer.suspect];
            isExplained = isExplained || other.decided;
            isContested = isContested || other.counted.size() >= own.counted.size();
            isAlone = isAlone && other.counted.size() < crashesToPause;
        }

        const auto isOwn = ! isExplained && ! isContested;
        ownCrashes += isOwn ? 1 : 0;
        aloneCrashes += isAlone ? 1 : 0;
        weighing.crashes += isOwn ? 1.0 : isExplained ? explainedWeight : contestedWeight;

        if (! weighing.byOwn && ownCrashes >= crashesToStop)
            weighing.byOwn = crash.at;

        // Who only ran beside fatal requests shares each crash with one of them.
        const auto hasEndedOne = ++counted >= crashesToStop && aloneCrashes > 0;

        if (! weighing.byAll && (hasEndedOne || weighing.crashes >= static_cast<double> (crashesToStop)))
            weighing.byAll = crash.at;
    }

    return weighing;
}

/** Decides all requests that have enough crashes of their own.

    @returns whether there was one
*/
auto decideByOwnCrashes (std::vector<Suspect>& suspects, const ParticipantsByReplica& sharers) -> bool
{
    std::vector<std::pair<std::size_t, TimePoint>> found;

    for (std::size_t index = 0; index < suspects.size(); ++index)
    {
        if (suspects[index].decided || suspects[index].counted.size() < crashesToStop)
            continue;

        if (const auto weighing = scoreCrashes (index, suspects, sharers); weighing.byOwn)
            found.emplace_back (index, *weighing.byOwn);
    }

    for (const auto& [index, decided] : found)
        suspects[index].decided = decided;

    return ! found.empty();
}

/** Decides the request against which most speaks, of those with enough crashes that others may have caused too.

    @returns whether there was one
*/
auto decideHighestScore (std::vector<Suspect>& suspects, const ParticipantsByReplica& sharers) -> bool
{
    const auto rankOf = [] (const Suspect& suspect, const CrashScore& weighing)
    {
        const auto& request = suspect.evidence->request;
        return std::tuple (weighing.crashes, request.high, request.low);
    };
    Suspect* worst = nullptr;
    CrashScore worstWeighing;

    for (std::size_t index = 0; index < suspects.size(); ++index)
    {
        auto& suspect = suspects[index];

        if (suspect.decided || suspect.counted.size() < crashesToStop)
            continue;

        const auto weighing = scoreCrashes (index, suspects, sharers);

        if (! weighing.byAll)
            continue;

        if (worst == nullptr || rankOf (suspect, weighing) > rankOf (*worst, worstWeighing))
        {
            worst = &suspect;
            worstWeighing = weighing;
        }
    }

    if (worst != nullptr)
        worst->decided = worstWeighing.byAll;

    return worst != nullptr;
}

} // namespace

auto evidenceWaitTimeFor (std::size_t suspects) -> Duration
{
    constexpr auto timeEach = Duration (250ms);
    constexpr auto longest = Duration (750ms);
    return evidenceWaitTime + std::min (longest, timeEach * static_cast<std::int64_t> (suspects));
}

auto findFatalRequests (std::span<const CrashEvidence* const> requests)
    -> std::vector<std::optional<TimePoint>>
{
    std::vector<Suspect> suspects;
    suspects.reserve (requests.size());
    ParticipantsByReplica sharers;

    for (const auto* evidence : requests)
    {
        for (const auto& crash : unrefutedCrashes (*evidence))
            sharers[crash.replica].push_back ({ suspects.size(), crash });

        suspects.push_back ({ evidence, countedCrashes (*evidence), {} });
    }

    while (decideByOwnCrashes (suspects, sharers) || decideHighestScore (suspects, sharers))
        continue;

    std::vector<std::optional<TimePoint>> decided;
    decided.reserve (suspects.size());

    for (const auto& suspect : suspects)
        decided.push_back (suspect.decided);

    return decided;
}

} // namespace snowrudder
