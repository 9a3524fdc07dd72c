#include "CrashEvidence.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** Each hop adds its delay to a time that is told as an age: what moves by less is the same word again. */
constexpr auto tellingError = Duration (1s);

auto addCrash (std::vector<ReplicaCrash>& crashes, const ReplicaCrash& crash) -> bool
{
    const auto same =
        std::ranges::find_if (crashes, [&crash] (const auto& known) { return isSameCrash (known, crash); });

    if (same != crashes.end())
    {
        same->at = std::min (same->at, crash.at);
        std::ranges::sort (crashes, {}, &ReplicaCrash::at);
        return false;
    }

    const auto place = std::ranges::upper_bound (crashes, crash.at, {}, &ReplicaCrash::at);

    if (place == crashes.begin() && crashes.size() >= mostCrashesKept)
        return false;

    crashes.insert (place, crash);

    if (crashes.size() > mostCrashesKept)
        crashes.erase (crashes.begin());

    return true;
}

auto isAmong (const std::vector<ReplicaCrash>& ends, const ReplicaCrash& end) -> bool
{
    return std::ranges::any_of (ends, [&end] (const auto& known) { return isSameCrash (known, end); });
}

} // namespace

auto noteOpenEnd (CrashEvidence& evidence, const ReplicaCrash& end) -> bool
{
    if (isAmong (evidence.crashes, end) || isAmong (evidence.openEnds, end))
        return false;

    evidence.openEnds.push_back (end);
    std::ranges::sort (evidence.openEnds, {}, &ReplicaCrash::at);

    if (evidence.openEnds.size() > mostOpenEnds)
        evidence.openEnds.erase (evidence.openEnds.begin());

    return true;
}

auto standingOpenEnds (const CrashEvidence& evidence, TimePoint now) -> std::vector<ReplicaCrash>
{
    auto standing = evidence.openEnds;
    std::erase_if (standing,
                   [&] (const ReplicaCrash& end)
                   {
                       const auto isCovered =
                           evidence.succeeded && end.at <= *evidence.succeeded + successCovers;
                       return isCovered || now - end.at > openEndTime;
                   });
    return standing;
}

auto isSameCrash (const ReplicaCrash& first, const ReplicaCrash& second) -> bool
{
    if (first.replica != second.replica)
        return false;

    return (first.namesOneStart && second.namesOneStart) ||
           std::chrono::abs (first.at - second.at) < shortestRestart;
}

auto mergeEvidence (CrashEvidence& known, const CrashEvidence& heard) -> bool
{
    auto isNews = false;

    for (const auto& crash : heard.crashes)
    {
        isNews = addCrash (known.crashes, crash) || isNews;
        std::erase_if (known.openEnds, [&crash] (const auto& end) { return isSameCrash (end, crash); });
    }

    for (const auto& end : heard.openEnds)
        isNews = noteOpenEnd (known, end) || isNews;

    if (heard.succeeded && (! known.succeeded || *heard.succeeded > *known.succeeded + tellingError))
    {
        known.succeeded = heard.succeeded;
        isNews = true;
    }

    known.lastSeen = std::max (known.lastSeen, heard.lastSeen);
    return isNews;
}

auto standingCrashes (const CrashEvidence& evidence) -> std::vector<ReplicaCrash>
{
    auto standing = evidence.crashes;

    if (evidence.succeeded)
        std::erase_if (standing, [covered = *evidence.succeeded + successCovers] (const auto& crash)
                       { return crash.at <= covered; });

    return standing;
}

auto countedCrashes (const CrashEvidence& evidence) -> std::vector<ReplicaCrash>
{
    std::vector<ReplicaCrash> counted;

    for (const auto& crash : standingCrashes (evidence))
        if (counted.empty() || crash.at >= counted.back().at + crashSpacing)
            counted.push_back (crash);

    return counted;
}

} // namespace snowrudder
