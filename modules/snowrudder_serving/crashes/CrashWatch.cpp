#include "CrashWatch.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** An entry goes after three missed heartbeats, and a little later where the store is slow. */
constexpr auto doubtTime = Duration (8s);

/** Attempts in doubt that are kept: a replica's slots times the replicas of a failure domain. */
constexpr auto mostDoubts = std::size_t { 512 };

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

CrashWatch::CrashWatch (Metrics& metrics, ReplicaTable& replicaTable, ReplicaNaming replicaNaming)
    : replicas (replicaTable), naming (replicaNaming),
      crashesSeen (metrics.counter ("snowrudder_crashes_under_requests_total")),
      requestsStopped (metrics.counter ("snowrudder_requests_stopped_total"))
{
}

auto CrashWatch::examine (SharedProbes& probes, WatchedAttempt attempt) -> Task<std::string_view>
{
    if (replicas.isLeaving (attempt.number))
        co_return "leaving";

    const auto state = co_await probes.probe (attempt.replica.endpoint);

    const auto listing = replicas.listing (attempt.number);

    // Listed as leaving meanwhile: a planned end.
    if (listing == ReplicaListing::leaving)
        co_return "leaving";

    if (const auto proof = crashProof (listing, state); ! proof.empty())
    {
        noteCrash (attempt, proof);
    }
    else
    {
        noteOpenEnd (attempt);
        noteDoubt (std::move (attempt));
    }

    co_return snowrudder::toString (state);
}

auto CrashWatch::lookAgain (SharedProbes& probes, TimePoint now) -> void
{
    for (const auto& end : crashes.openEnds (now))
        if (const auto heard = replicas.heardOf (end.replica))
            crashes.noteAlive (end.replica, *heard);

    std::vector<WatchedAttempt> inDoubt;

    {
        const std::lock_guard lock (mutex);
        inDoubt.swap (doubts);
    }

    std::unordered_map<ReplicaNumber, std::vector<WatchedAttempt>> lapsed;

    for (auto& attempt : inDoubt)
    {
        const auto listing = replicas.listing (attempt.number);

        if (const auto proof = crashProof (listing, EndpointState::accepts); ! proof.empty())
            noteCrash (attempt, proof);
        else if (listing == ReplicaListing::gone)
            lapsed[attempt.number].push_back (std::move (attempt));
        else if (listing == ReplicaListing::listed && now - attempt.ended <= doubtTime)
            noteDoubt (std::move (attempt));
    }

    for (auto& [number, attempts] : lapsed)
        asio::co_spawn (probes.executor(), examineLapsed (probes, std::move (attempts)), asio::detached);
}

auto CrashWatch::examineLapsed (SharedProbes& probes, std::vector<WatchedAttempt> lapsed) -> Task<void>
{
    const auto& replica = lapsed.front().replica;
    const auto address = co_await probes.probeListener (replica.endpoint);
    const auto proof = crashProof (ReplicaListing::gone, address);

    LogLine ("lapsed_replica_probed")
        .with ("replica", replica.name)
        .with ("address", snowrudder::toString (address))
        .with ("attempts", lapsed.size())
        .with ("crash", proof.empty() ? "no" : "yes")
        .info();

    if (proof.empty())
        co_return;

    for (const auto& attempt : lapsed)
        noteCrash (attempt, proof);
}

auto CrashWatch::hear (const std::vector<CrashEvidence>& heard,
                       std::string_view from,
                       bool isToTell,
                       TimePoint now) -> void
{
    auto isNews = false;

    for (const auto& evidence : heard)
    {
        if (! crashes.hear (evidence, isToTell, now))
            continue;

        isNews = true;

        for (const auto& crash : evidence.crashes)
            replicas.noteEnded (crash.replica, crash.at);

        const auto judgement = crashes.judge (evidence.request, now);
        LogLine ("crashes_heard")
            .with ("fingerprint", snowrudder::toString (evidence.request))
            .with ("from", from)
            .with ("crashes", judgement.crashes)
            .with ("open_ends", judgement.openEnds)
            .with ("age_milliseconds", inMilliseconds (now - evidence.lastSeen))
            .with ("verdict", toString (judgement.verdict))
            .info();
    }

    if (isNews && onNews)
        onNews();
}

auto CrashWatch::noteStopped (const RequestFingerprint& request,
                              std::string_view requestId,
                              const CrashJudgement& judgement,
                              TimePoint now) -> void
{
    crashes.noteStopped (request, now);
    requestsStopped.add();
    LogLine ("request_stopped")
        .with ("request", requestId)
        .with ("fingerprint", snowrudder::toString (request))
        .with ("crashes", judgement.crashes)
        .with ("last_crash_milliseconds", inMilliseconds (now - judgement.lastCrash))
        .info();
}

auto CrashWatch::waitForVerdict (asio::io_context& loop,
                                 RequestFingerprint request,
                                 std::string service,
                                 std::function<bool()> isOver) -> Task<CrashJudgement>
{
    auto judgement = crashes.judge (request, SteadyClock::now());

    if (mustPause (judgement))
    {
        co_await pauseFor (loop,
                           std::chrono::duration_cast<Duration> (pauseBound (judgement) * randomFraction()));
        judgement = crashes.judge (request, SteadyClock::now());
    }

    while (judgement.verdict != CrashVerdict::clear &&
           mustWait (judgement, surroundings (request, service)) && ! isOver())
    {
        co_await pauseFor (loop, verdictLook);
        judgement = crashes.judge (request, SteadyClock::now());
    }

    co_return judgement;
}

CrashWatch::Running::Running (CrashWatch& crashWatch, const RequestFingerprint& request)
    : watch (crashWatch), fingerprint (request)
{
    const std::lock_guard lock (watch.mutex);
    ++watch.running[fingerprint];
}

CrashWatch::Running::~Running()
{
    const std::lock_guard lock (watch.mutex);
    const auto found = watch.running.find (fingerprint);

    if (--found->second == 0)
        watch.running.erase (found);
}

auto noteSizes (Metrics& metrics, const CrashTable::Sizes& sizes) -> void
{
    metrics.gauge ("snowrudder_requests_with_crashes", "verdict=\"any\"")
        .set (static_cast<std::int64_t> (sizes.known));
    metrics.gauge ("snowrudder_requests_with_crashes", "verdict=\"stopped\"")
        .set (static_cast<std::int64_t> (sizes.stopped));
}

auto CrashWatch::noteCrash (const WatchedAttempt& attempt, std::string_view proof) -> void
{
    const auto crash = endOf (attempt);
    replicas.noteEnded (crash.replica, crash.at);
    const auto isNews = crashes.noteCrash (attempt.request, attempt.account, crash);
    const auto judgement = crashes.judge (attempt.request, SteadyClock::now());
    crashesSeen.add();
    LogLine ("crash_evidence")
        .with ("request", attempt.requestId)
        .with ("fingerprint", snowrudder::toString (attempt.request))
        .with ("service", attempt.replica.service)
        .with ("account", attempt.account)
        .with ("replica", attempt.replica.name)
        .with ("proof", proof)
        .with ("crashes", judgement.crashes)
        .with ("verdict", toString (judgement.verdict))
        .info();

    if (isNews && onNews)
        onNews();
}

auto CrashWatch::noteOpenEnd (const WatchedAttempt& attempt) -> void
{
    const auto isNews =
        crashes.noteOpenEnd (attempt.request, attempt.account, endOf (attempt), SteadyClock::now());

    if (isNews && onNews)
        onNews();
}

auto CrashWatch::endOf (const WatchedAttempt& attempt) const -> ReplicaCrash
{
    return { incarnationHash (attempt.replica), attempt.ended, naming == ReplicaNaming::starts };
}

auto CrashWatch::noteDoubt (WatchedAttempt attempt) -> void
{
    const std::lock_guard lock (mutex);

    if (! attempt.request.isKnown())
        return;

    // The latest tell most: the oldest are about to be given up.
    if (doubts.size() >= mostDoubts)
        doubts.erase (doubts.begin());

    doubts.push_back (std::move (attempt));
}

auto CrashWatch::surroundings (const RequestFingerprint& request, const std::string& service) const
    -> SuspectSurroundings
{
    SuspectSurroundings around;
    constexpr auto scarceShare = 0.5;
    around.isScarce =
        replicas.capacity (service, SteadyClock::now()).slots < scarceShare * replicas.totals (service).slots;

    const std::lock_guard lock (mutex);
    around.isRunning = running.contains (request);
    return around;
}

} // namespace snowrudder
