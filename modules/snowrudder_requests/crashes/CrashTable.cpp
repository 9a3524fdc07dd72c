#include "CrashTable.h"

#include <algorithm>
#include <tuple>

namespace snowrudder
{

namespace
{

/** Successes remembered in one generation: a node answers some hundred requests a second. */
constexpr auto mostSuccesses = std::size_t { 8192 };

auto holds (const std::vector<ReplicaCrash>& crashes, const ReplicaCrash& wanted) -> bool
{
    return std::ranges::any_of (crashes,
                                [&wanted] (const auto& crash) { return isSameCrash (crash, wanted); });
}

} // namespace

auto CrashTable::noteCrash (const RequestFingerprint& request,
                            std::string_view account,
                            std::uint64_t replica,
                            TimePoint now) -> bool
{
    if (! request.isKnown())
        return false;

    CrashEvidence seen;
    seen.request = request;
    seen.account = static_cast<std::uint32_t> (hashBytes (account));
    seen.crashes.push_back ({ replica, now });
    seen.lastSeen = now;
    const auto isToTell = true;
    return hear (seen, isToTell, now);
}

auto CrashTable::noteSuccess (const RequestFingerprint& request, TimePoint now) -> void
{
    if (! request.isKnown())
        return;

    const std::lock_guard lock (mutex);
    keepSuccess (request, now);

    if (const auto found = entries.find (request); found != entries.end())
        takeSuccess (found->second, now);
}

auto CrashTable::noteStopped (const RequestFingerprint& request, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);

    if (const auto found = entries.find (request); found != entries.end())
        found->second.evidence.lastSeen = std::max (found->second.evidence.lastSeen, now);
}

auto CrashTable::hear (const CrashEvidence& heard, bool isToTell, TimePoint now) -> bool
{
    if (! heard.request.isKnown() || heard.crashes.empty() || now - heard.lastSeen > keepTime)
        return false;

    const std::lock_guard lock (mutex);
    auto& entry = entryFor (heard.request, heard.account, now);
    const auto isNews = mergeEvidence (entry.evidence, heard);

    if (isNews && isToTell)
        entry.tellsLeft = timesTold;

    if (const auto success = recentSuccess (heard.request, now))
        takeSuccess (entry, *success);

    return isNews;
}

auto CrashTable::judge (const RequestFingerprint& request, TimePoint now) const -> CrashJudgement
{
    const std::lock_guard lock (mutex);
    const auto found = entries.find (request);
    return found == entries.end() ? CrashJudgement() : judgeEntry (found->second, now);
}

auto CrashTable::takeToTell (std::size_t most) -> std::vector<CrashEvidence>
{
    const std::lock_guard lock (mutex);
    std::vector<CrashEvidence> told;

    for (auto& [request, entry] : entries)
    {
        if (entry.tellsLeft == 0)
            continue;

        if (told.size() == most)
            break;

        --entry.tellsLeft;
        told.push_back (entry.evidence);
    }

    return told;
}

auto CrashTable::all (std::size_t most, TimePoint now) const -> std::vector<CrashEvidence>
{
    const std::lock_guard lock (mutex);
    std::vector<CrashEvidence> stopped;
    std::vector<CrashEvidence> others;

    for (const auto& [request, entry] : entries)
        (judgeEntry (entry, now).verdict == CrashVerdict::stopped ? stopped : others)
            .push_back (entry.evidence);

    stopped.insert (stopped.end(), others.begin(), others.end());
    stopped.resize (std::min (stopped.size(), most));
    return stopped;
}

auto CrashTable::digest (TimePoint now) const -> std::uint64_t
{
    const std::lock_guard lock (mutex);
    auto sum = std::uint64_t { 0 };

    for (const auto& [request, entry] : entries)
        if (judgeEntry (entry, now).verdict == CrashVerdict::stopped)
            sum ^= combineHashes (request.high, request.low);

    return sum;
}

auto CrashTable::forgetOld (TimePoint now) -> void
{
    const std::lock_guard lock (mutex);

    std::erase_if (entries,
                   [this, now] (const auto& known)
                   {
                       const auto& evidence = known.second.evidence;

                       if (now - evidence.lastSeen <= keepTime)
                           return false;

                       --countByAccount[evidence.account];
                       return true;
                   });
    std::erase_if (countByAccount, [] (const auto& count) { return count.second == 0; });
}

auto CrashTable::sizes (TimePoint now) const -> Sizes
{
    const std::lock_guard lock (mutex);
    Sizes sizes;
    sizes.known = entries.size();

    for (const auto& [request, entry] : entries)
        if (judgeEntry (entry, now).verdict == CrashVerdict::stopped)
            ++sizes.stopped;

    return sizes;
}

auto CrashTable::entryFor (const RequestFingerprint& request, std::uint32_t account, TimePoint now) -> Entry&
{
    if (const auto found = entries.find (request); found != entries.end())
        return found->second;

    makeRoom (account);
    ++countByAccount[account];
    auto& entry = entries[request];
    entry.evidence.request = request;
    entry.evidence.account = account;
    entry.evidence.lastSeen = now;
    return entry;
}

auto CrashTable::takeSuccess (Entry& entry, TimePoint at) -> void
{
    auto& evidence = entry.evidence;
    const auto before = countedCrashes (evidence).size();
    evidence.succeeded = std::max (evidence.succeeded.value_or (at), at);

    // Told only where it changes something: a request that runs everywhere succeeds all the time.
    if (countedCrashes (evidence).size() < before)
        entry.tellsLeft = timesTold;
}

auto CrashTable::recentSuccess (const RequestFingerprint& request, TimePoint now) const
    -> std::optional<TimePoint>
{
    for (const auto* generation : { &successes, &earlierSuccesses })
        if (const auto found = generation->find (request);
            found != generation->end() && now - found->second <= successCovers)
            return found->second;

    return {};
}

auto CrashTable::keepSuccess (const RequestFingerprint& request, TimePoint now) -> void
{
    if (now - generationBegan > successCovers || successes.size() >= mostSuccesses)
    {
        earlierSuccesses = std::exchange (successes, {});
        generationBegan = now;
    }

    successes[request] = now;
}

auto CrashTable::makeRoom (std::uint32_t account) -> void
{
    const auto own = countByAccount.find (account);
    const auto isOverOwn = own != countByAccount.end() && own->second >= mostOfAccount;

    if (entries.empty() || (! isOverOwn && entries.size() < mostRequests))
        return;

    const auto largest =
        std::ranges::max_element (countByAccount, {}, [] (const auto& count) { return count.second; });
    const auto from = isOverOwn ? account : largest->first;
    auto oldest = entries.end();

    // What counts least goes first.
    const auto weight = [] (const Entry& entry)
    { return std::tuple (countedCrashes (entry.evidence).size(), entry.evidence.lastSeen); };

    for (auto place = entries.begin(); place != entries.end(); ++place)
        if (place->second.evidence.account == from &&
            (oldest == entries.end() || weight (place->second) < weight (oldest->second)))
            oldest = place;

    --countByAccount[from];
    entries.erase (oldest);
}

auto CrashTable::isProven (const Entry& entry) const -> bool
{
    if (entry.evidence.crashes.size() < crashesToStop)
        return false;

    const auto own = countedCrashes (entry.evidence);

    if (own.size() < crashesToStop)
        return false;

    // A crash says little of a request beside which another one ran that ended as many replicas or more.
    std::vector<bool> explained (own.size(), false);
    std::vector<bool> shared (own.size(), false);

    for (const auto& [request, other] : entries)
    {
        if (&other == &entry || other.evidence.crashes.size() < own.size())
            continue;

        const auto counted = countedCrashes (other.evidence).size();

        if (counted < own.size())
            continue;

        const auto standing = standingCrashes (other.evidence);

        for (std::size_t index = 0; index < own.size(); ++index)
            if (holds (standing, own[index]))
            {
                shared[index] = true;
                explained[index] = explained[index] || counted > own.size();
            }
    }

    const auto unshared = static_cast<std::size_t> (std::ranges::count (shared, false));
    const auto unexplained = static_cast<std::size_t> (std::ranges::count (explained, false));
    return unshared >= crashesToStop || (own.size() >= mostCrashesKept && unexplained >= crashesToStop);
}

auto CrashTable::judgeEntry (const Entry& entry, TimePoint now) const -> CrashJudgement
{
    const auto counted = countedCrashes (entry.evidence);

    if (counted.empty())
        return {};

    CrashJudgement judgement { CrashVerdict::suspected, counted.size(), counted.back().at };

    if (! isProven (entry))
        return judgement;

    const auto isHeard = now >= counted[crashesToStop - 1].at + hearingTime;
    judgement.verdict = isHeard ? CrashVerdict::stopped : CrashVerdict::undecided;
    return judgement;
}

} // namespace snowrudder
