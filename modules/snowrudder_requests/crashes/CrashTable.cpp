#include "CrashTable.h"

#include "FatalParts.h"

#include <algorithm>
#include <tuple>

namespace snowrudder
{

namespace
{

/** Most successes kept in one generation: a node answers some hundred requests per second. */
constexpr auto maxSuccesses = std::size_t { 8192 };

} // namespace

auto CrashTable::recordCrash (const RequestFingerprint& request,
                              std::string_view account,
                              const ReplicaCrash& crash) -> bool
{
    if (! request.isKnown())
        return false;

    CrashEvidence newEvidence;
    newEvidence.fingerprint = request;
    newEvidence.account = static_cast<std::uint32_t> (hashBytes (account));
    newEvidence.crashes.push_back (crash);
    newEvidence.lastSeen = crash.at;
    const auto shouldForward = true;
    return merge (newEvidence, shouldForward, crash.at);
}

auto CrashTable::recordPartCrash (const RequestFingerprint& part,
                                  std::string_view account,
                                  std::uint32_t replicas,
                                  const ReplicaCrash& crash) -> bool
{
    CrashEvidence newEvidence;
    newEvidence.subject = CrashSubject::promptPart;
    newEvidence.fingerprint = part;
    newEvidence.account = static_cast<std::uint32_t> (hashBytes (account));
    newEvidence.replicas = replicas;
    newEvidence.crashes.push_back (crash);
    newEvidence.lastSeen = crash.at;
    const auto shouldForward = true;
    return merge (newEvidence, shouldForward, crash.at);
}

auto CrashTable::recordPartRun (const RequestFingerprint& part, TimePoint began) -> bool
{
    const std::lock_guard lock (mutex);
    storeSuccess (part, began);
    const auto found = entries.find (part);

    if (found == entries.end())
        return false;

    auto& entry = found->second;
    updateDecisions();
    const auto wasSuspect = entry.isSuspectPart || entry.decidedAt;
    const auto before = countedCrashes (entry.evidence).size();
    entry.evidence.lastSuccess = std::max (entry.evidence.lastSuccess.value_or (began), began);

    if (countedCrashes (entry.evidence).size() == before)
        return false;

    areDecisionsStale = true;

    // Other nodes need to know only if the crashes had consequences: a part may be in use at every node.
    if (wasSuspect)
        entry.sendsLeft = timesSent;

    return wasSuspect;
}

auto CrashTable::recordUnconfirmedCrash (const RequestFingerprint& request,
                                         std::string_view account,
                                         const ReplicaCrash& end,
                                         TimePoint now) -> bool
{
    if (! request.isKnown())
        return false;

    const std::lock_guard lock (mutex);

    if (recentSuccess (request, now))
        return false;

    auto& entry = findOrAddEntry (request, static_cast<std::uint32_t> (hashBytes (account)), now);
    entry.evidence.lastSeen = std::max (entry.evidence.lastSeen, now);

    if (! snowrudder::recordUnconfirmedCrash (entry.evidence, end))
        return false;

    entry.sendsLeft = timesSent;
    return true;
}

auto CrashTable::recordAlive (std::uint64_t replica, TimePoint aliveAt) -> void
{
    const std::lock_guard lock (mutex);

    for (auto& [request, entry] : entries)
        std::erase_if (entry.evidence.unconfirmedCrashes,
                       [&] (const ReplicaCrash& end) { return end.replica == replica && end.at < aliveAt; });
}

auto CrashTable::recordSuccess (const RequestFingerprint& request, TimePoint now) -> void
{
    if (! request.isKnown())
        return;

    const std::lock_guard lock (mutex);
    storeSuccess (request, now);

    if (const auto found = entries.find (request); found != entries.end())
        applySuccess (found->second, now);
}

auto CrashTable::recordStopped (const RequestFingerprint& request, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);

    if (const auto found = entries.find (request); found != entries.end())
        found->second.evidence.lastSeen = std::max (found->second.evidence.lastSeen, now);
}

auto CrashTable::merge (const CrashEvidence& received, bool shouldForward, TimePoint now) -> bool
{
    if (! received.fingerprint.isKnown() || now - received.lastSeen > retentionTime ||
        (received.crashes.empty() && pendingUnconfirmedCrashes (received, now).empty()))
        return false;

    const std::lock_guard lock (mutex);
    auto& entry = findOrAddEntry (received.fingerprint, received.account, now);
    const auto isChanged = mergeEvidence (entry.evidence, received);
    areDecisionsStale = areDecisionsStale || isChanged;

    if (isChanged)
        entry.lastChange = now;

    if (isChanged && shouldForward)
        entry.sendsLeft = timesSent;

    if (subject == CrashSubject::promptPart)
        addPartSuccess (entry, received, now);
    else if (const auto success = recentSuccess (received.fingerprint, now))
        applySuccess (entry, *success);

    return isChanged;
}

auto CrashTable::assess (const RequestFingerprint& request, TimePoint now) const -> CrashAssessment
{
    const std::lock_guard lock (mutex);
    const auto found = entries.find (request);
    return found == entries.end() ? CrashAssessment() : assessEntry (found->second, now);
}

auto CrashTable::suspectRankingHashes() const -> std::vector<std::uint64_t>
{
    const std::lock_guard lock (mutex);
    updateDecisions();
    return suspects;
}

auto CrashTable::unconfirmedCrashes (TimePoint now) const -> std::vector<ReplicaCrash>
{
    const std::lock_guard lock (mutex);
    std::vector<ReplicaCrash> all;

    for (const auto& [request, entry] : entries)
    {
        if (entry.evidence.unconfirmedCrashes.empty())
            continue;

        const auto pending = pendingUnconfirmedCrashes (entry.evidence, now);
        all.insert (all.end(), pending.begin(), pending.end());
    }

    return all;
}

auto CrashTable::takeUnsent (std::size_t most) -> std::vector<CrashEvidence>
{
    const std::lock_guard lock (mutex);
    std::vector<CrashEvidence> unsent;

    for (auto& [request, entry] : entries)
    {
        if (entry.sendsLeft == 0)
            continue;

        if (unsent.size() == most)
            break;

        --entry.sendsLeft;
        unsent.push_back (entry.evidence);
    }

    return unsent;
}

auto CrashTable::all (std::size_t most, TimePoint now) const -> std::vector<CrashEvidence>
{
    const std::lock_guard lock (mutex);
    std::vector<CrashEvidence> stopped;
    std::vector<CrashEvidence> others;

    for (const auto& [request, entry] : entries)
        (assessEntry (entry, now).verdict == CrashVerdict::stopped ? stopped : others)
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
        if (assessEntry (entry, now).verdict == CrashVerdict::stopped)
            sum ^= rankingHash (request);

    return sum;
}

auto CrashTable::removeExpired (TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    areDecisionsStale = true;

    std::erase_if (entries,
                   [this, now] (const auto& known)
                   {
                       const auto& evidence = known.second.evidence;
                       const auto isEmpty =
                           evidence.crashes.empty() && pendingUnconfirmedCrashes (evidence, now).empty();

                       if (! isEmpty && now - evidence.lastSeen <= retentionTime)
                           return false;

                       --countByAccount[evidence.account];
                       return true;
                   });
    entryCount = entries.size();
    std::erase_if (countByAccount, [] (const auto& count) { return count.second == 0; });
}

auto CrashTable::sizes (TimePoint now) const -> Sizes
{
    const std::lock_guard lock (mutex);
    Sizes sizes;
    sizes.known = entries.size();

    for (const auto& [request, entry] : entries)
        if (assessEntry (entry, now).verdict == CrashVerdict::stopped)
            ++sizes.stopped;

    return sizes;
}

auto CrashTable::findOrAddEntry (const RequestFingerprint& request, std::uint32_t account, TimePoint now)
    -> Entry&
{
    if (const auto found = entries.find (request); found != entries.end())
        return found->second;

    makeRoom (account);
    ++countByAccount[account];
    auto& entry = entries[request];
    entryCount = entries.size();
    entry.evidence.subject = subject;
    entry.evidence.fingerprint = request;
    entry.evidence.account = account;
    entry.evidence.lastSeen = now;
    return entry;
}

auto CrashTable::applySuccess (Entry& entry, TimePoint at) -> void
{
    auto& evidence = entry.evidence;
    const auto before = countedCrashes (evidence).size();
    evidence.lastSuccess = std::max (evidence.lastSuccess.value_or (at), at);

    if (countedCrashes (evidence).size() == before)
        return;

    // Sent only if it changes the crashes that count: a request that runs on every node succeeds all the time.
    entry.sendsLeft = timesSent;
    areDecisionsStale = true;
}

auto CrashTable::recentSuccess (const RequestFingerprint& request, TimePoint now) const
    -> std::optional<TimePoint>
{
    for (const auto* generation : { &successes, &earlierSuccesses })
        if (const auto found = generation->find (request);
            found != generation->end() && now - found->second <= successMemory())
            return found->second;

    return {};
}

auto CrashTable::storeSuccess (const RequestFingerprint& request, TimePoint at) -> void
{
    if (at - generationStart > successMemory() || successes.size() >= maxSuccesses)
    {
        earlierSuccesses = std::exchange (successes, {});
        generationStart = at;
    }

    auto& latest = successes[request];
    latest = std::max (latest, at);
}

auto CrashTable::successMemory() const -> Duration
{
    return subject == CrashSubject::promptPart ? partSuccessMemory : successValidity;
}

auto CrashTable::makeRoom (std::uint32_t account) -> void
{
    const auto own = countByAccount.find (account);
    const auto isOverOwn = own != countByAccount.end() && own->second >= maxRequestsPerAccount;

    if (entries.empty() || (! isOverOwn && entries.size() < maxRequests))
        return;

    const auto largest =
        std::ranges::max_element (countByAccount, {}, [] (const auto& count) { return count.second; });
    const auto from = isOverOwn ? account : largest->first;
    auto oldest = entries.end();

    // The request with the fewest counted crashes is evicted first; among equals, the one seen longest ago.
    const auto weight = [] (const Entry& entry)
    { return std::tuple (countedCrashes (entry.evidence).size(), entry.evidence.lastSeen); };

    for (auto place = entries.begin(); place != entries.end(); ++place)
        if (place->second.evidence.account == from &&
            (oldest == entries.end() || weight (place->second) < weight (oldest->second)))
            oldest = place;

    --countByAccount[from];
    entries.erase (oldest);
    entryCount = entries.size();
    areDecisionsStale = true;
}

auto CrashTable::updateDecisions() const -> void
{
    if (! std::exchange (areDecisionsStale, false))
        return;

    suspects.clear();

    if (subject == CrashSubject::request)
        updateRequestDecisions();
    else
        updatePartDecisions();
}

auto CrashTable::updateRequestDecisions() const -> void
{
    std::vector<const CrashEvidence*> known;
    known.reserve (entries.size());

    for (const auto& [request, entry] : entries)
        known.push_back (&entry.evidence);

    const auto decidedAt = findFatalRequests (known);
    auto next = decidedAt.begin();

    for (auto& [request, entry] : entries)
    {
        entry.decidedAt = *next++;

        if (! entry.decidedAt && countedCrashes (entry.evidence).size() > 1)
            suspects.push_back (rankingHash (request));
    }
}

auto CrashTable::updatePartDecisions() const -> void
{
    std::vector<KnownPart> known;
    known.reserve (entries.size());

    for (const auto& [part, entry] : entries)
        known.push_back ({ &entry.evidence, entry.isStoppedPart ? entry.decidedAt : std::nullopt });

    const auto scores = scoreParts (known);
    auto score = scores.begin();

    for (auto& [part, entry] : entries)
    {
        entry.decidedAt = score->decidedAt;
        entry.isStoppedPart = entry.isStoppedPart && entry.decidedAt;
        entry.isSuspectPart = ! score->decidedAt && score->isSuspect;
        entry.group = score->group;
        entry.groupSize = score->groupSize;

        if (entry.isSuspectPart)
            suspects.push_back (rankingHash (part));

        ++score;
    }
}

auto CrashTable::addPartSuccess (Entry& entry, const CrashEvidence& received, TimePoint now) -> void
{
    auto& evidence = entry.evidence;

    if (const auto own = recentSuccess (evidence.fingerprint, now); own > evidence.lastSuccess)
    {
        evidence.lastSuccess = own;
        areDecisionsStale = true;
    }

    const auto isNewsToSender = evidence.lastSuccess && ! received.lastSuccess;
    const auto receivedCount = countedCrashes (received).size();
    const auto refutesMore =
        receivedCount >= crashesToPause && countedCrashes (evidence).size() < receivedCount;

    if (isNewsToSender || refutesMore)
        entry.sendsLeft = timesSent;
}

auto CrashTable::assessEntry (const Entry& entry, TimePoint now) const -> CrashAssessment
{
    if (subject == CrashSubject::promptPart && entry.evidence.crashes.size() < crashesToPause)
        return {};

    const auto counted = countedCrashes (entry.evidence);
    const auto open = pendingUnconfirmedCrashes (entry.evidence, now).size();

    if (counted.empty() && open < crashesToPause)
        return {};

    updateDecisions();

    if (subject == CrashSubject::promptPart && ! entry.decidedAt && ! entry.isSuspectPart)
        return {};

    CrashAssessment assessment;
    assessment.subject = subject;
    assessment.fingerprint = entry.evidence.fingerprint;
    assessment.rankingHash = rankingHash (entry.evidence.fingerprint);
    assessment.verdict = CrashVerdict::suspected;
    assessment.crashes = counted.size();
    assessment.unconfirmedCrashes = open;
    assessment.lastCrash = counted.empty() ? entry.evidence.lastSeen : counted.back().at;
    assessment.suspects = suspects.size();
    assessment.group = entry.group;
    assessment.groupSize = entry.groupSize;

    if (! entry.decidedAt)
        return assessment;

    // A crash confirmed late on one node is received late by the others.
    const auto isSettled = now >= entry.lastChange + settlingTime ||
                           now >= *entry.decidedAt + confirmationTimeout + evidenceWaitTime;
    const auto badFor = counted.empty() ? Duration::zero() : counted.back().at - counted.front().at;
    assessment.nextTrial = assessment.lastCrash + std::max (minTrialPause, badFor);
    const auto hasWaited = now >= *entry.decidedAt + evidenceWaitTimeFor (suspects.size()) && isSettled;
    entry.isStoppedPart = entry.isStoppedPart || hasWaited;
    assessment.verdict = hasWaited ? CrashVerdict::stopped : CrashVerdict::undecided;
    return assessment;
}

} // namespace snowrudder
