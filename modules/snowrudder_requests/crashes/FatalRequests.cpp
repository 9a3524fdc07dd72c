#include "FatalRequests.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace snowrudder
{

namespace
{

/** A request with crashes, and when it was found to be fatal. */
struct Suspect
{
    const CrashEvidence* evidence = nullptr;
    std::vector<ReplicaCrash> counted;
    std::optional<TimePoint> decidedAt;
};

/** A request that was running on a replica when it crashed. */
struct CrashParticipant
{
    std::size_t suspect = 0;
    ReplicaCrash crash;
};

using ParticipantsByReplica = std::unordered_map<std::uint64_t, std::vector<CrashParticipant>>;

/** The weighted crashes of a request and when they reached the threshold. */
struct CrashScore
{
    /** Sum of the weights of its crashes: 1, contestedWeight or explainedWeight each. */
    double crashes = 0.0;
    /** When there were `crashesToStop` crashes that no other request explains or contests. */
    std::optional<TimePoint> decidedByOwn;
    /** When there were enough crashes of all kinds. */
    std::optional<TimePoint> decidedByAll;
};

auto scoreCrashes (std::size_t index,
                   const std::vector<Suspect>& suspects,
                   const ParticipantsByReplica& participants) -> CrashScore
{
    CrashScore score;
    const auto& own = suspects[index];
    auto ownCrashes = std::size_t { 0 };
    auto exclusiveCrashes = std::size_t { 0 };
    auto counted = std::size_t { 0 };

    for (const auto& crash : own.counted)
    {
        auto isExplained = false;
        auto isContested = false;
        auto isExclusive = true;

        for (const auto& participant : participants.at (crash.replica))
        {
            if (participant.suspect == index || ! isSameCrash (participant.crash, crash))
                continue;

            const auto& other = suspects[participant.suspect];
            isExplained = isExplained || other.decidedAt;
            isContested = isContested || other.counted.size() >= own.counted.size();
            isExclusive = isExclusive && other.counted.size() < crashesToPause;
        }

        const auto isOwn = ! isExplained && ! isContested;
        ownCrashes += isOwn ? 1 : 0;
        exclusiveCrashes += isExclusive ? 1 : 0;
        score.crashes += isOwn ? 1.0 : isExplained ? explainedWeight : contestedWeight;

        if (! score.decidedByOwn && ownCrashes >= crashesToStop)
            score.decidedByOwn = crash.at;

        // A request that only ran beside fatal ones shares each of its crashes with one of them.
        const auto hasExclusiveCrash = ++counted >= crashesToStop && exclusiveCrashes > 0;

        if (! score.decidedByAll &&
            (hasExclusiveCrash || score.crashes >= static_cast<double> (crashesToStop)))
            score.decidedByAll = crash.at;
    }

    return score;
}

/** Marks all requests as fatal that have enough crashes of their own.

    @returns whether there was one
*/
auto decideByOwnCrashes (std::vector<Suspect>& suspects, const ParticipantsByReplica& participants) -> bool
{
    std::vector<std::pair<std::size_t, TimePoint>> found;

    for (std::size_t index = 0; index < suspects.size(); ++index)
    {
        if (suspects[index].decidedAt || suspects[index].counted.size() < crashesToStop)
            continue;

        if (const auto score = scoreCrashes (index, suspects, participants); score.decidedByOwn)
            found.emplace_back (index, *score.decidedByOwn);
    }

    for (const auto& [index, decidedAt] : found)
        suspects[index].decidedAt = decidedAt;

    return ! found.empty();
}

/** Marks as fatal the request with the highest score, of those with enough crashes if the ones that others may have
    caused are included.

    @returns whether there was one
*/
auto decideHighestScore (std::vector<Suspect>& suspects, const ParticipantsByReplica& participants) -> bool
{
    const auto rankOf = [] (const Suspect& suspect, const CrashScore& score)
    {
        const auto& request = suspect.evidence->fingerprint;
        return std::tuple (score.crashes, request.high, request.low);
    };
    Suspect* highest = nullptr;
    CrashScore highestScore;

    for (std::size_t index = 0; index < suspects.size(); ++index)
    {
        auto& suspect = suspects[index];

        if (suspect.decidedAt || suspect.counted.size() < crashesToStop)
            continue;

        const auto score = scoreCrashes (index, suspects, participants);

        if (! score.decidedByAll)
            continue;

        if (highest == nullptr || rankOf (suspect, score) > rankOf (*highest, highestScore))
        {
            highest = &suspect;
            highestScore = score;
        }
    }

    if (highest != nullptr)
        highest->decidedAt = highestScore.decidedByAll;

    return highest != nullptr;
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
    ParticipantsByReplica participants;

    for (const auto* evidence : requests)
    {
        for (const auto& crash : unrefutedCrashes (*evidence))
            participants[crash.replica].push_back ({ suspects.size(), crash });

        suspects.push_back ({ evidence, countedCrashes (*evidence), {} });
    }

    while (decideByOwnCrashes (suspects, participants) || decideHighestScore (suspects, participants))
        continue;

    std::vector<std::optional<TimePoint>> decidedAt;
    decidedAt.reserve (suspects.size());

    for (const auto& suspect : suspects)
        decidedAt.push_back (suspect.decidedAt);

    return decidedAt;
}

} // namespace snowrudder
