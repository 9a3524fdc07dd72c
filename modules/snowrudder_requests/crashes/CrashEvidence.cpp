#include "CrashEvidence.h"

#include <algorithm>
#include <tuple>

namespace snowrudder
{

namespace
{

/** Times are sent as ages, and each hop adds its delay to them: a success that is later by less than this is the same
    one.
*/
constexpr auto ageTolerance = Duration (1s);

auto successValidityOf (const CrashEvidence& evidence) -> Duration
{
    return evidence.subject == CrashSubject::promptPart ? partSuccessValidity : successValidity;
}

auto addCrash (std::vector<ReplicaCrash>& crashes, const ReplicaCrash& crash) -> bool
{
    const auto same =
        std::ranges::find_if (crashes, [&crash] (const auto& known) { return isSameCrash (known, crash); });

    if (same != crashes.end())
    {
        same->at = std::min (same->at, crash.at);

        // Of the requests that a crash ended, the one that had just begun says most about a part that they share.
        if (std::tuple (crash.ranFor, crash.request) < std::tuple (same->ranFor, same->request))
        {
            same->ranFor = crash.ranFor;
            same->request = crash.request;
        }

        std::ranges::sort (crashes, {}, &ReplicaCrash::at);
        return false;
    }

    const auto place = std::ranges::upper_bound (crashes, crash.at, {}, &ReplicaCrash::at);

    if (place == crashes.begin() && crashes.size() >= maxCrashesKept)
        return false;

    crashes.insert (place, crash);

    if (crashes.size() > maxCrashesKept)
        crashes.erase (crashes.begin());

    return true;
}

auto containsCrash (const std::vector<ReplicaCrash>& ends, const ReplicaCrash& end) -> bool
{
    return std::ranges::any_of (ends, [&end] (const auto& known) { return isSameCrash (known, end); });
}

/** @returns whether the received success is later than the known one. */
auto mergeSuccess (CrashEvidence& known, const CrashEvidence& received) -> bool
{
    if (! received.lastSuccess || (known.lastSuccess && *received.lastSuccess <= *known.lastSuccess))
        return false;

    auto merged = known;
    merged.lastSuccess = received.lastSuccess;
    const auto isLater = ! known.lastSuccess || *received.lastSuccess > *known.lastSuccess + ageTolerance;
    const auto refutesMore = known.subject == CrashSubject::promptPart &&
                             countedCrashes (merged).size() < countedCrashes (known).size();

    if (! isLater && ! refutesMore)
        return false;

    known.lastSuccess = received.lastSuccess;
    return true;
}

} // namespace

auto recordUnconfirmedCrash (CrashEvidence& evidence, const ReplicaCrash& end) -> bool
{
    if (containsCrash (evidence.crashes, end) || containsCrash (evidence.unconfirmedCrashes, end))
        return false;

    evidence.unconfirmedCrashes.push_back (end);
    std::ranges::sort (evidence.unconfirmedCrashes, {}, &ReplicaCrash::at);

    if (evidence.unconfirmedCrashes.size() > maxUnconfirmedCrashes)
        evidence.unconfirmedCrashes.erase (evidence.unconfirmedCrashes.begin());

    return true;
}

auto pendingUnconfirmedCrashes (const CrashEvidence& evidence, TimePoint now) -> std::vector<ReplicaCrash>
{
    auto pending = evidence.unconfirmedCrashes;
    std::erase_if (pending,
                   [&] (const ReplicaCrash& end)
                   {
                       const auto isRefuted = evidence.lastSuccess &&
                                              end.at <= *evidence.lastSuccess + successValidityOf (evidence);
                       return isRefuted || now - end.at > confirmationTimeout;
                   });
    return pending;
}

auto isSameCrash (const ReplicaCrash& first, const ReplicaCrash& second) -> bool
{
    if (first.replica != second.replica)
        return false;

    return (first.identifiesIncarnation && second.identifiesIncarnation) ||
           std::chrono::abs (first.at - second.at) < minRestartInterval;
}

auto mergeEvidence (CrashEvidence& known, const CrashEvidence& received) -> bool
{
    auto isChanged = false;

    for (const auto& crash : received.crashes)
    {
        isChanged = addCrash (known.crashes, crash) || isChanged;
        std::erase_if (known.unconfirmedCrashes,
                       [&crash] (const auto& end) { return isSameCrash (end, crash); });
    }

    for (const auto& end : received.unconfirmedCrashes)
        isChanged = recordUnconfirmedCrash (known, end) || isChanged;

    isChanged = mergeSuccess (known, received) || isChanged;
    known.replicas = std::max (known.replicas, received.replicas);
    known.lastSeen = std::max (known.lastSeen, received.lastSeen);
    return isChanged;
}

auto unrefutedCrashes (const CrashEvidence& evidence) -> std::vector<ReplicaCrash>
{
    auto unrefuted = evidence.crashes;

    if (evidence.lastSuccess)
        std::erase_if (unrefuted, [refutedUntil = *evidence.lastSuccess + successValidityOf (evidence)] (
                                      const auto& crash) { return crash.at <= refutedUntil; });

    return unrefuted;
}

auto countedCrashes (const CrashEvidence& evidence) -> std::vector<ReplicaCrash>
{
    std::vector<ReplicaCrash> counted;

    for (const auto& crash : unrefutedCrashes (evidence))
        if (counted.empty() || crash.at >= counted.back().at + minCrashSpacing)
            counted.push_back (crash);

    return counted;
}

} // namespace snowrudder
