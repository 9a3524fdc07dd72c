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

} // namespace

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
        isNews = addCrash (known.crashes, crash) || isNews;

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
