#include "FatalParts.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <unordered_map>

namespace snowrudder
{

namespace
{

/** Weight of a crash during which a part with more crashes ran, too. */
constexpr auto contestedPartWeight = 0.5;

/** The crashes of a service's replicas, each once, in order of time. */
using ServiceCrashes = std::vector<ReplicaCrash>;

/** The crashes of all services, by the first half of their parts' fingerprints. */
using CrashesByService = std::unordered_map<std::uint64_t, ServiceCrashes>;

/** A part that may be fatal, with the crashes that count against it. */
struct Candidate
{
    std::size_t index = 0;
    const CrashEvidence* evidence = nullptr;
    /** When it was found to be fatal before. */
    std::optional<TimePoint> decidedBefore;
    std::vector<ReplicaCrash> counted;
    PartScore score;
};

auto contains (const std::vector<ReplicaCrash>& crashes, const ReplicaCrash& crash) -> bool
{
    return std::ranges::any_of (crashes, [&] (const auto& known) { return isSameCrash (known, crash); });
}

auto containsAll (const std::vector<ReplicaCrash>& crashes, const std::vector<ReplicaCrash>& others) -> bool
{
    return std::ranges::all_of (others, [&] (const auto& other) { return contains (crashes, other); });
}

auto crashesByService (std::span<const KnownPart> parts) -> CrashesByService
{
    CrashesByService services;

    for (const auto& part : parts)
        for (const auto& crash : part.evidence->crashes)
            services[part.evidence->fingerprint.high].push_back (crash);

    for (auto& [service, crashes] : services)
    {
        std::ranges::sort (crashes, {},
                           [] (const auto& crash) { return std::tuple (crash.replica, crash.at); });
        crashes.erase (std::unique (crashes.begin(), crashes.end(), isSameCrash), crashes.end());
        std::ranges::sort (crashes, {}, &ReplicaCrash::at);
    }

    return services;
}

/** @returns whether a crash may have another cause than the candidate: it did not run then. A crash by which a rival's
    run ended soon after it had begun is the rival's.
*/
auto hasOtherCause (const ReplicaCrash& crash,
                    const Candidate& candidate,
                    const std::vector<const Candidate*>& rivals) -> bool
{
    if (contains (candidate.counted, crash))
        return false;

    return std::ranges::none_of (rivals, [&] (const Candidate* rival)
                                 { return rival != &candidate && contains (rival->counted, crash); });
}

/** @returns whether a rival that has more crashes than the candidate ran during this one, too. */
auto isContested (const ReplicaCrash& crash,
                  const Candidate& candidate,
                  const std::vector<const Candidate*>& rivals) -> bool
{
    return std::ranges::any_of (
        rivals, [&] (const Candidate* rival)
        { return rival->counted.size() > candidate.counted.size() && contains (rival->counted, crash); });
}

/** @returns how often each running replica of the service crashes per second for other reasons, by its crashes in the time
    before the latest one that counts against the candidate; as if there had been one at least.
*/
auto crashRate (const Candidate& candidate,
                const ServiceCrashes& crashes,
                const std::vector<const Candidate*>& rivals) -> double
{
    const auto until = candidate.counted.back().at;
    const auto first = std::ranges::lower_bound (crashes, until - crashRateWindow, {}, &ReplicaCrash::at);
    const auto last = std::ranges::upper_bound (crashes, until, {}, &ReplicaCrash::at);
    const auto others = std::count_if (
        first, last, [&] (const ReplicaCrash& crash) { return hasOtherCause (crash, candidate, rivals); });
    const auto running = std::max (1.0, runningShare * candidate.evidence->replicas);
    return static_cast<double> (others + 1) /
           (std::chrono::duration<double> (crashRateWindow).count() * running);
}

/** @returns the improbability, in decades, that a replica crashes by chance during a run as short as this one. */
auto decadesOf (const ReplicaCrash& crash, double rate) -> double
{
    const auto ran = std::chrono::duration<double> (std::max (crash.ranFor, runTimeResolution));
    return std::max (0.0, -std::log10 (rate * ran.count()));
}

auto scoreOf (const Candidate& candidate,
              const ServiceCrashes& crashes,
              const std::vector<const Candidate*>& rivals) -> PartScore
{
    PartScore score;
    const auto decadesToStop = candidate.evidence->lastSuccess ? decadesToStopProven : decadesToStopNew;
    const auto rate = crashRate (candidate, crashes, rivals);
    std::set<std::uint32_t> requests;

    for (const auto& crash : candidate.counted)
    {
        const auto weight = isContested (crash, candidate, rivals) ? contestedPartWeight : 1.0;
        score.decades += weight * decadesOf (crash, rate);
        requests.insert (crash.request);

        if (! score.decidedAt && score.decades >= decadesToStop && requests.size() >= minFatalRequests)
            score.decidedAt = crash.at;
    }

    if (candidate.decidedBefore)
        score.decidedAt = candidate.decidedBefore;

    score.isSuspect = score.decades >= suspectedShare * decadesToStop;
    return score;
}

/** @returns the parts with several crashes that count. A single crash proves nothing. */
auto findCandidates (std::span<const KnownPart> parts) -> std::vector<Candidate>
{
    std::vector<Candidate> candidates;

    for (auto index = std::size_t { 0 }; index < parts.size(); ++index)
    {
        const auto& part = parts[index];

        if (part.evidence->crashes.size() < 2)
            continue;

        auto counted = countedCrashes (*part.evidence);

        if (counted.size() < 2)
            continue;

        const auto isStillFatal = counted.size() >= minFatalRequests;
        candidates.push_back (
            { index, part.evidence, isStillFatal ? part.decidedAt : std::nullopt, std::move (counted), {} });
    }

    return candidates;
}

/** Scores all candidates: first each by itself, then again without the crashes that the suspects among the others
    explain.
*/
auto scoreCandidates (std::vector<Candidate>& candidates, const CrashesByService& services) -> void
{
    std::vector<const Candidate*> rivals;
    const auto scoreAll = [&]
    {
        for (auto& candidate : candidates)
            candidate.score = scoreOf (candidate, services.at (candidate.evidence->fingerprint.high), rivals);
    };
    scoreAll();
    std::vector<const Candidate*> suspects;

    for (const auto& candidate : candidates)
        if (candidate.score.isSuspect)
            suspects.push_back (&candidate);

    rivals = std::move (suspects);

    if (rivals.size() > 1)
        scoreAll();
}

/** @returns the candidate that was found to be fatal by the most evidence, or the end. */
auto findFatal (std::vector<Candidate>& candidates) -> std::vector<Candidate>::iterator
{
    const auto rank = [] (const Candidate& candidate)
    {
        return std::tuple (candidate.score.decidedAt.has_value(), candidate.decidedBefore.has_value(),
                           candidate.score.decades, candidate.evidence->fingerprint.low);
    };
    const auto highest = std::ranges::max_element (candidates, {}, rank);
    return highest != candidates.end() && highest->score.decidedAt ? highest : candidates.end();
}

} // namespace

auto scoreParts (std::span<const KnownPart> parts) -> std::vector<PartScore>
{
    std::vector<PartScore> scores (parts.size());
    auto candidates = findCandidates (parts);

    if (candidates.empty())
        return scores;

    auto services = crashesByService (parts);

    while (! candidates.empty())
    {
        scoreCandidates (candidates, services);
        const auto fatal = findFatal (candidates);

        if (fatal == candidates.end())
            break;

        const auto explained = fatal->counted;
        const auto decision = fatal->score;
        const auto group = fatal->evidence->fingerprint;
        std::vector<std::size_t> members;

        for (const auto& candidate : candidates)
            if (candidate.evidence->fingerprint.high == group.high &&
                containsAll (candidate.counted, explained))
                members.push_back (candidate.index);

        for (const auto index : members)
            scores[index] = { decision.decades, true, decision.decidedAt, group, members.size() };

        const auto isExplained = [&] (const ReplicaCrash& crash) { return contains (explained, crash); };
        std::erase_if (services.at (group.high), isExplained);

        for (auto& candidate : candidates)
            if (! candidate.decidedBefore)
                std::erase_if (candidate.counted, isExplained);

        std::erase_if (candidates,
                       [&] (const Candidate& candidate)
                       {
                           const auto isMember =
                               std::ranges::find (members, candidate.index) != members.end();
                           return isMember || candidate.counted.size() < 2;
                       });
    }

    for (const auto& candidate : candidates)
        if (! scores[candidate.index].decidedAt)
            scores[candidate.index] = candidate.score;

    return scores;
}

} // namespace snowrudder
