#include "CrashMonitor.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace snowrudder
{

namespace
{

/** How long an attempt stays unconfirmed: a directory entry expires after three missed heartbeats, and a little later
    if the store is slow.
*/
constexpr auto unconfirmedTimeout = Duration (8s);

/** How often the address of a replica whose entry has expired is probed while attempts on it are unconfirmed. What
    listens there may be another process, such as a supervisor, so an address that accepts settles nothing.
*/
constexpr auto expiredProbeInterval = Duration (1s);

/** Maximum number of unconfirmed attempts: the slots of a replica times the replicas of a failure domain. */
constexpr auto maxUnconfirmed = std::size_t { 512 };

/** How long after a crash requests with a suspected part wait for replicas to return. If these stay away for another
    reason, the part has to run to be cleared: many sound requests may have it.
*/
constexpr auto maxWaitForReplicas = Duration (5s);

/** @returns the name of the log field that has the fingerprint. */
auto nameOf (CrashSubject subject) -> std::string_view
{
    return subject == CrashSubject::promptPart ? "part" : "fingerprint";
}

auto toString (CrashVerdict verdict) -> std::string_view
{
    switch (verdict)
    {
        case CrashVerdict::suspected:
            return "suspected";
        case CrashVerdict::undecided:
            return "undecided";
        case CrashVerdict::stopped:
            return "stopped";
        case CrashVerdict::clear:
            break;
    }

    return "clear";
}

} // namespace

CrashMonitor::CrashMonitor (Metrics& nodeMetrics, ReplicaTable& replicaTable, ReplicaNaming replicaNaming)
    : replicas (replicaTable), naming (replicaNaming),
      confirmedCrashes (nodeMetrics.counter ("snowrudder_crashes_under_requests_total")),
      requestsStopped (nodeMetrics.counter ("snowrudder_requests_stopped_total")), metrics (nodeMetrics)
{
}

auto CrashMonitor::examine (SharedProbes& probes, InterruptedAttempt attempt) -> Task<std::string_view>
{
    if (replicas.isLeaving (attempt.number))
        co_return "leaving";

    const auto state = co_await probes.probe (attempt.replica.endpoint);

    const auto listing = replicas.listing (attempt.number);

    // Listed as leaving during the probe: a planned shutdown.
    if (listing == ReplicaListing::leaving)
        co_return "leaving";

    // This node's path to the replica has failed, not the replica.
    if (state == EndpointState::reachedByOthers)
        co_return snowrudder::toString (state);

    if (const auto proof = crashProof (listing, state); ! proof.empty())
    {
        confirmCrash (attempt, proof);
    }
    else
    {
        reportOpenEnd (attempt);
        addUnconfirmed (std::move (attempt));
    }

    co_return snowrudder::toString (state);
}

auto CrashMonitor::recheckUnconfirmed (SharedProbes& probes, TimePoint now) -> void
{
    for (const auto& end : records.requestTable().unconfirmedCrashes (now))
        if (const auto lastAnswer = replicas.lastReportTime (end.replica))
            records.requestTable().recordAlive (end.replica, *lastAnswer);

    std::vector<InterruptedAttempt> pendingAttempts;

    {
        const std::lock_guard lock (mutex);
        pendingAttempts.swap (unconfirmedAttempts);
    }

    std::unordered_map<ReplicaNumber, std::vector<InterruptedAttempt>> expired;
    // Attempts on one replica share the search of the directory.
    std::unordered_map<ReplicaNumber, ReplicaListing> listings;

    for (auto& attempt : pendingAttempts)
    {
        const auto [known, isFirst] = listings.try_emplace (attempt.number);

        if (isFirst)
            known->second = listingOf (attempt);

        const auto listing = known->second;

        if (const auto proof = crashProof (listing, EndpointState::accepts); ! proof.empty())
            confirmCrash (attempt, proof);
        else if (listing == ReplicaListing::leaving || now - attempt.ended > unconfirmedTimeout)
            continue;
        else if (listing == ReplicaListing::unlisted && now - attempt.probedAt >= expiredProbeInterval)
            expired[attempt.number].push_back (std::move (attempt));
        else
            addUnconfirmed (std::move (attempt));
    }

    for (auto& [number, attempts] : expired)
        asio::co_spawn (probes.executor(), probeExpiredReplica (probes, std::move (attempts)),
                        asio::detached);
}

auto CrashMonitor::probeExpiredReplica (SharedProbes& probes, std::vector<InterruptedAttempt> expired)
    -> Task<void>
{
    const auto replica = expired.front().replica;
    const auto address = co_await probes.probeListener (replica.endpoint);
    const auto proof = crashProof (ReplicaListing::unlisted, address);

    LogLine ("lapsed_replica_probed")
        .with ("replica", replica.name)
        .with ("address", snowrudder::toString (address))
        .with ("attempts", expired.size())
        .with ("crash", proof.empty() ? "no" : "yes")
        .info();

    for (auto& attempt : expired)
    {
        if (! proof.empty())
        {
            confirmCrash (attempt, proof);
            continue;
        }

        attempt.probedAt = BootClock::now();
        addUnconfirmed (std::move (attempt));
    }
}

auto CrashMonitor::receiveEvidence (const std::vector<CrashEvidence>& received,
                                    std::string_view from,
                                    bool shouldForward,
                                    TimePoint now) -> void
{
    auto isNew = false;

    for (const auto& evidence : received)
    {
        if (! records.merge (evidence, shouldForward, now))
            continue;

        isNew = true;

        for (const auto& crash : evidence.crashes)
            replicas.markEnded (crash.replica, crash.at);

        const auto assessment = records.assess (evidence, now);

        // A crash cuts many requests, and most of the parts of their prompts never have a second one.
        if (evidence.subject == CrashSubject::promptPart && assessment.verdict == CrashVerdict::clear)
            continue;

        LogLine ("crashes_heard")
            .with (nameOf (evidence.subject), snowrudder::toString (evidence.fingerprint))
            .with ("from", from)
            .with ("crashes", assessment.crashes)
            .with ("open_ends", assessment.unconfirmedCrashes)
            .with ("age_milliseconds", inMilliseconds (now - evidence.lastSeen))
            .with ("verdict", toString (assessment.verdict))
            .info();
    }

    if (isNew && onNewEvidence)
        onNewEvidence();
}

auto CrashMonitor::reportStopped (const RequestFingerprint& request,
                                  std::string_view requestId,
                                  const CrashAssessment& assessment,
                                  TimePoint now) -> void
{
    const auto isByPart = assessment.subject == CrashSubject::promptPart;
    records.recordStopped (assessment, now);
    requestsStopped.add();
    LogLine ("request_stopped")
        .with ("request", requestId)
        .with ("fingerprint", snowrudder::toString (request))
        .with ("part", isByPart ? snowrudder::toString (assessment.fingerprint) : "none")
        .with ("crashes", assessment.crashes)
        .with ("last_crash_milliseconds", inMilliseconds (now - assessment.lastCrash))
        .info();
}

auto CrashMonitor::waitForVerdict (asio::io_context& loop,
                                   CrashSubjects subjects,
                                   std::string service,
                                   std::function<bool()> isCancelled) -> Task<CrashAssessment>
{
    auto assessment = assess (subjects, BootClock::now());

    if (shouldPause (assessment))
    {
        co_await pauseFor (
            loop, std::chrono::duration_cast<Duration> (maxPauseFor (assessment) * randomFraction()));
        assessment = assess (subjects, BootClock::now());
    }

    while (assessment.verdict != CrashVerdict::clear &&
           shouldWait (assessment, suspectConditions (assessment, service)) && ! isCancelled())
    {
        co_await pauseFor (loop, verdictPollInterval);
        assessment = assess (subjects, BootClock::now());
    }

    co_return assessment;
}

auto CrashMonitor::recordSuccess (const CrashSubjects& subjects, TimePoint began, TimePoint now) -> void
{
    reportRefuted (records.recordSuccess (subjects, began, now), began, now);
}

auto CrashMonitor::recordProvenRun (const CrashSubjects& subjects, TimePoint began, TimePoint now) -> void
{
    reportRefuted (records.recordProvenRun (subjects, began), began, now);
}

auto CrashMonitor::publishSizes (TimePoint now) -> void
{
    const auto publish = [this] (const std::string& name, const CrashTable::Sizes& sizes)
    {
        metrics.gauge (name, "verdict=\"any\"").set (static_cast<std::int64_t> (sizes.known));
        metrics.gauge (name, "verdict=\"stopped\"").set (static_cast<std::int64_t> (sizes.stopped));
    };
    publish ("snowrudder_requests_with_crashes", records.requestTable().sizes (now));
    publish ("snowrudder_prompt_parts_with_crashes", records.partTable().sizes (now));
}

auto CrashMonitor::confirmCrash (const InterruptedAttempt& attempt, std::string_view proof) -> void
{
    const auto crash = toReplicaCrash (attempt);
    replicas.markEnded (crash.replica, crash.at);
    const auto serviceReplicas =
        static_cast<std::uint32_t> (replicas.totals (attempt.replica.service).replicas);
    const auto isNew = records.recordCrash (attempt.subjects, attempt.account, crash, serviceReplicas);
    const auto assessment = assess (attempt.subjects, BootClock::now());
    confirmedCrashes.add();
    LogLine ("crash_evidence")
        .with ("request", attempt.requestId)
        .with ("fingerprint", snowrudder::toString (attempt.subjects.request))
        .with ("parts", snowrudder::toString (attempt.subjects.parts))
        .with ("ran_milliseconds", inMilliseconds (attempt.ranFor))
        .with ("service", attempt.replica.service)
        .with ("account", attempt.account)
        .with ("replica", attempt.replica.name)
        .with ("proof", proof)
        .with ("crashes", assessment.crashes)
        .with ("verdict", toString (assessment.verdict))
        .with ("verdict_on", nameOf (assessment.subject))
        .info();

    if (isNew && onNewEvidence)
        onNewEvidence();
}

auto CrashMonitor::reportRefuted (const std::vector<RequestFingerprint>& refuted,
                                  TimePoint began,
                                  TimePoint now) -> void
{
    for (const auto& part : refuted)
    {
        const auto assessment = records.partTable().assess (part, now);
        LogLine ("part_refuted")
            .with ("part", snowrudder::toString (part))
            .with ("answer_age_milliseconds", inMilliseconds (now - began))
            .with ("crashes", assessment.crashes)
            .with ("verdict", toString (assessment.verdict))
            .info();
    }

    if (! refuted.empty() && onNewEvidence)
        onNewEvidence();
}

auto CrashMonitor::reportOpenEnd (const InterruptedAttempt& attempt) -> void
{
    const auto isNew = records.requestTable().recordUnconfirmedCrash (
        attempt.subjects.request, attempt.account, toReplicaCrash (attempt), BootClock::now());

    if (isNew && onNewEvidence)
        onNewEvidence();
}

auto CrashMonitor::listingOf (const InterruptedAttempt& attempt) const -> ReplicaListing
{
    const auto listing = replicas.listing (attempt.number);
    const auto isReplaced = listing == ReplicaListing::unlisted && replicas.hasSuccessor (attempt.replica);
    return isReplaced ? ReplicaListing::replaced : listing;
}

auto CrashMonitor::toReplicaCrash (const InterruptedAttempt& attempt) const -> ReplicaCrash
{
    const auto request = std::uint32_t { 0 };
    return { incarnationHash (attempt.replica), attempt.ended, naming == ReplicaNaming::uniquePerStart,
             request, attempt.ranFor };
}

auto CrashMonitor::addUnconfirmed (InterruptedAttempt attempt) -> void
{
    const std::lock_guard lock (mutex);

    if (! attempt.subjects.request.isKnown())
        return;

    // The oldest attempts are dropped first: they are about to time out, and recent ones carry more information.
    if (unconfirmedAttempts.size() >= maxUnconfirmed)
        unconfirmedAttempts.erase (unconfirmedAttempts.begin());

    unconfirmedAttempts.push_back (std::move (attempt));
}

auto CrashMonitor::suspectConditions (const CrashAssessment& assessment, const std::string& service) const
    -> SuspectContext
{
    SuspectContext conditions;
    constexpr auto scarceShare = 0.5;

    const auto now = BootClock::now();
    const auto isRequest = assessment.subject == CrashSubject::request;

    if (isRequest || now - assessment.lastCrash < maxWaitForReplicas)
        conditions.areReplicasScarce =
            replicas.capacity (service, now).slots < scarceShare * replicas.totals (service).slots;

    conditions.hasJustCrashed = hasJustCrashed (assessment, now);
    conditions.isRunning = records.isRunning (assessment);
    return conditions;
}

} // namespace snowrudder
