#include "CrashTable.h"

#include <algorithm>
#include <tuple>

namespace snowrudder
{

namespace
{

/** Successes remembered in one generation: a node answers some hundred requests a second. */
constexpr auto mostSuccesses = std::size_t { 8192 };

} // namespace

auto CrashTable::noteCrash (const RequestFingerprint& request,
                            std::string_view account,
                            const ReplicaCrash& crash) -> bool
{
    if (! request.isKnown())
        return false;

    CrashEvidence seen;
    seen.request = request;
    seen.account = static_cast<std::uint32_t> (hashBytes (account));
    seen.crashes.push_back (crash);
    seen.lastSeen = crash.at;
    const auto isToTell = true;
    return hear (seen, isToTell, crash.at);
}

auto CrashTable::noteOpenEnd (const RequestFingerprint& request,
                              std::string_view account,
                              const ReplicaCrash& end,
                              TimePoint now) -> bool
{
    if (! request.isKnown())
        return false;

    const std::lock_guard lock (mutex);

    if (recentSuccess (request, now))
        return false;

    auto& entry = entryFor (request, static_cast<std::uint32_t> (hashBytes (account)), now);
    entry.evidence.lastSeen = std::max (entry.evidence.lastSeen, now);

    if (! snowrudder::noteOpenEnd (entry.evidence, end))
        return false;

    entry.tellsLeft = timesTold;
    return true;
}

auto CrashTable::noteAlive (std::uint64_t replica, TimePoint heard) -> void
{
    const std::lock_guard lock (mutex);

    for (auto& [request, entry] : entries)
        std::erase_if (entry.evidence.openEnds,
                       [&] (const ReplicaCrash& end) { return end.replica == replica && end.at < heard; });
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
    if (! heard.request.isKnown() || now - heard.lastSeen > keepTime ||
        (heard.crashes.empty() && standingOpenEnds (heard, now).empty()))
        return false;

    const std::lock_guard lock (mutex);
    auto& entry = entryFor (heard.request, heard.account, now);
    const auto isNews = mergeEvidence (entry.evidence, heard);
    isToDecide = isToDecide || isNews;

    if (isNews)
        entry.learned = now;

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

auto CrashTable::suspectAnchors() const -> std::vector<std::uint64_t>
{
    const std::lock_guard lock (mutex);
    decide();
    return suspects;
}

auto CrashTable::openEnds (TimePoint now) const -> std::vector<ReplicaCrash>
{
    const std::lock_guard lock (mutex);
    std::vector<ReplicaCrash> all;

    for (const auto& [request, entry] : entries)
    {
        if (entry.evidence.openEnds.empty())
            continue;

        const auto standing = standingOpenEnds (entry.evidence, now);
        all.insert (all.end(), standing.begin(), standing.end());
    }

    return all;
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
            sum ^= anchorOf (request);

    return sum;
}

auto CrashTable::forgetOld (TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    isToDecide = true;

    std::erase_if (entries,
                   [this, now] (const auto& known)
                   {
                       const auto& evidence = known.second.evidence;
                       const auto isEmpty =
                           evidence.crashes.empty() && standingOpenEnds (evidence, now).empty();

                       if (! isEmpty && now - evidence.lastSeen <= keepTime)
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

    if (countedCrashes (evidence).size() == before)
        return;

    // Told only where it changes something: a request that runs everywhere succeeds all the time.
    entry.tellsLeft = timesTold;
    isToDecide = true;
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
    isToDecide = true;
}

auto CrashTable::decide() const -> void
{
    if (! std::exchange (isToDecide, false))
        return;

    std::vector<const CrashEvidence*> known;
    known.reserve (entries.size());

    for (const auto& [request, entry] : entries)
        known.push_back (&entry.evidence);

    const auto decided = findFatalRequests (known);
    auto next = decided.begin();
    suspects.clear();

    for (auto& [request, entry] : entries)
    {
        entry.decided = *next++;

        if (! entry.decided && countedCrashes (entry.evidence).size() > 1)
            suspects.push_back (anchorOf (request));
    }
}

auto CrashTable::judgeEntry (const Entry& entry, TimePoint now) const -> CrashJudgement
{
    const auto counted = countedCrashes (entry.evidence);
    const auto open = standingOpenEnds (entry.evidence, now).size();

    if (counted.empty() && open < crashesToPause)
        return {};

    decide();
    CrashJudgement judgement;
    judgement.verdict = CrashVerdict::suspected;
    judgement.crashes = counted.size();
    judgement.openEnds = open;
    judgement.lastCrash = counted.empty() ? entry.evidence.lastSeen : counted.back().at;
    judgement.suspects = suspects.size();

    if (! entry.decided)
        return judgement;

    // What was proved late is told late by others too.
    const auto isSettled =
        now >= entry.learned + settlingTime || now >= *entry.decided + openEndTime + hearingTime;
    const auto isHeard = now >= *entry.decided + hearingTimeBeside (suspects.size()) && isSettled;
    judgement.verdict = isHeard ? CrashVerdict::stopped : CrashVerdict::undecided;
    return judgement;
}

} // namespace snowrudder
