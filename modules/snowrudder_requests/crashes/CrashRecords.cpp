#include "CrashRecords.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace snowrudder
{

auto CrashRecords::recordCrash (const CrashSubjects& subjects,
                                std::string_view account,
                                const ReplicaCrash& crash,
                                std::uint32_t replicas) -> bool
{
    auto isNew = requests.recordCrash (subjects.request, account, crash);
    auto ofPart = crash;
    ofPart.request = static_cast<std::uint32_t> (subjects.request.low);

    for (const auto& part : subjects.parts)
        isNew = parts.recordPartCrash (part, account, replicas, ofPart) || isNew;

    return isNew;
}

auto CrashRecords::recordSuccess (const CrashSubjects& subjects, TimePoint began, TimePoint now)
    -> std::vector<RequestFingerprint>
{
    requests.recordSuccess (subjects.request, now);
    return recordProvenRun (subjects, began);
}

auto CrashRecords::recordProvenRun (const CrashSubjects& subjects, TimePoint began)
    -> std::vector<RequestFingerprint>
{
    std::vector<RequestFingerprint> refuted;

    for (const auto& part : subjects.parts)
        if (parts.recordPartRun (part, began))
            refuted.push_back (part);

    return refuted;
}

auto CrashRecords::merge (const CrashEvidence& received, bool shouldForward, TimePoint now) -> bool
{
    auto& table = received.subject == CrashSubject::promptPart ? parts : requests;
    return table.merge (received, shouldForward, now);
}

auto CrashRecords::assess (const CrashSubjects& subjects, TimePoint now) const -> CrashAssessment
{
    const auto ofRequest = requests.assess (subjects.request, now);

    if (parts.isEmpty())
        return ofRequest;

    std::vector<CrashAssessment> ofParts;

    for (const auto& part : subjects.parts)
        if (auto ofPart = parts.assess (part, now); ofPart.verdict != CrashVerdict::clear)
            ofParts.push_back (ofPart);

    CrashAssessment worst;

    for (auto& ofPart : ofParts)
    {
        const auto ofGroup =
            static_cast<std::size_t> (std::ranges::count (ofParts, ofPart.group, &CrashAssessment::group));
        const auto hasWholeGroup = ofPart.groupSize <= ofGroup;

        if (! hasWholeGroup || (ofPart.verdict == CrashVerdict::stopped && mayTry (ofPart, now)))
            ofPart.verdict = CrashVerdict::suspected;

        const auto rank = [] (const CrashAssessment& assessment)
        { return std::tuple (assessment.verdict, assessment.crashes, assessment.rankingHash); };

        if (rank (ofPart) > rank (worst))
            worst = ofPart;
    }

    return worst.verdict == CrashVerdict::clear || worst.verdict < ofRequest.verdict ? ofRequest : worst;
}

auto CrashRecords::assess (const CrashEvidence& evidence, TimePoint now) const -> CrashAssessment
{
    const auto& table = evidence.subject == CrashSubject::promptPart ? parts : requests;
    return table.assess (evidence.fingerprint, now);
}

auto CrashRecords::recordStopped (const CrashAssessment& assessment, TimePoint now) -> void
{
    auto& table = assessment.subject == CrashSubject::promptPart ? parts : requests;
    table.recordStopped (assessment.fingerprint, now);
}

auto CrashRecords::takeUnsent (std::size_t most) -> std::vector<CrashEvidence>
{
    auto unsent = requests.takeUnsent (most);
    std::ranges::move (parts.takeUnsent (most), std::back_inserter (unsent));
    return unsent;
}

auto CrashRecords::all (std::size_t most, TimePoint now) const -> std::vector<CrashEvidence>
{
    auto evidence = requests.all (most, now);
    std::ranges::move (parts.all (most, now), std::back_inserter (evidence));
    return evidence;
}

auto CrashRecords::digest (TimePoint now) const -> std::uint64_t
{
    return requests.digest (now) ^ parts.digest (now);
}

auto CrashRecords::suspectRankingHashes() const -> std::vector<std::uint64_t>
{
    auto suspects = requests.suspectRankingHashes();
    std::ranges::move (parts.suspectRankingHashes(), std::back_inserter (suspects));
    return suspects;
}

auto CrashRecords::removeExpired (TimePoint now) -> void
{
    requests.removeExpired (now);
    parts.removeExpired (now);

    const std::lock_guard lock (mutex);
    std::erase_if (trials, [now] (const auto& trial) { return now - trial.second > trialPause; });
}

CrashRecords::RunningAttempt::RunningAttempt (CrashRecords& crashRecords,
                                              const CrashSubjects& subjects,
                                              TimePoint now)
    : records (crashRecords), counted { subjects.request }
{
    std::vector<RequestFingerprint> tried;

    if (! records.parts.isEmpty())
    {
        counted.insert (counted.end(), subjects.parts.begin(), subjects.parts.end());
        std::ranges::copy_if (subjects.parts, std::back_inserter (tried),
                              [&] (const auto& part)
                              { return records.parts.assess (part, now).verdict == CrashVerdict::stopped; });
    }

    const std::lock_guard lock (records.mutex);

    for (const auto& fingerprint : counted)
        ++records.running[fingerprint];

    for (const auto& part : tried)
        records.trials[part] = now;
}

CrashRecords::RunningAttempt::~RunningAttempt()
{
    const std::lock_guard lock (records.mutex);

    for (const auto& fingerprint : counted)
    {
        const auto found = records.running.find (fingerprint);

        if (--found->second == 0)
            records.running.erase (found);
    }
}

auto CrashRecords::isRunning (const CrashAssessment& assessment) const -> bool
{
    const std::lock_guard lock (mutex);
    return running.contains (assessment.fingerprint);
}

auto CrashRecords::mayTry (const CrashAssessment& part, TimePoint now) const -> bool
{
    if (now < part.nextTrial || (isTrialNode && ! isTrialNode (rankingHash (part.fingerprint))))
        return false;

    const std::lock_guard lock (mutex);
    const auto last = trials.find (part.fingerprint);
    return ! running.contains (part.fingerprint) && (last == trials.end() || now - last->second > trialPause);
}

} // namespace snowrudder
