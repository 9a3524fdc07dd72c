#include "RoutedRequestRunner.h"

#include "../attempt/AttemptErrors.h"
#include "../crashes/SuspectRanking.h"
#include "../paths/PathMonitor.h"
#include "../queue/PermitGuard.h"
#include "../streams/ResumedStream.h"
#include "AnswerRelay.h"

#include <algorithm>
#include <utility>

namespace snowrudder
{

namespace
{

using std::chrono::milliseconds;

/** Connections within the platform are established in a few milliseconds; a VM that is powered off never answers. */
constexpr auto connectTimeout = 250ms;

/** Refused attempts that don't count towards the route's maximum number of attempts. */
constexpr auto uncountedRefusals = std::uint32_t { 2 };

/** Maximum number of queued requests per client account at this node. */
constexpr auto maxQueued = std::uint32_t { 256 };

/** The share of the route's latency target that a request may spend in the queue. */
constexpr auto queueShareOfTarget = 0.6;

/** How often a stream that goes on looks for a proof of the list of replicas. */
constexpr auto versionProofPause = Duration (20ms);

/** Events up to this size may be held whatever else is, in bytes. */
constexpr auto ordinaryEventBytes = std::size_t { 64 } * 1024;

/** How often a request looks for a free place on a replica whose places are divided among the nodes. */
constexpr auto placePause = 5ms;

} // namespace

RoutedRequestRunner::RoutedRequestRunner (ServingState& servingState,
                                          Exchange& callerExchange,
                                          RoutedRequest routedRequest)
    : state (servingState), exchange (callerExchange), request (std::move (routedRequest)),
      askedDeadline (request.deadline), queueWake (std::make_shared<Signal> (exchange.executor())),
      listedRequest (state.openRequests, [this] { followStop(); }), prompt (promptOf (request.caller))
{
    if (request.resumedStream)
        boundAt = request.resumedStream->begun;
    else if (request.caller.resumesStream)
        boundAt = request.accepted;

    followStop();
}

RoutedRequestRunner::~RoutedRequestRunner()
{
    exchange.stopWatching();

    if (hasReservedRetry)
        state.retryBudgets.giveBack ({}, request.service);
}

auto RoutedRequestRunner::run() -> Task<void>
{
    constexpr auto percent = 100.0;
    state.retryBudgets.earn ({}, request.service, state.settings.retryShare * percent);
    exchange.watchCaller ([this] { onCallerGone(); });

    const auto permit = co_await enterQueue();
    state.counts.queueWait.add (BootClock::now() - request.accepted);

    if (! permit.granted)
    {
        if (isCallerGone)
            co_return;

        auto problem = problemWithoutPermit (permit.retryAfter);
        co_await respondWithProblem (std::move (problem));
        co_return;
    }

    const PermitGuard guard (state.queues, request.service, request.accountName());
    co_await runAttempts();
}

auto RoutedRequestRunner::problemWithoutPermit (Duration retryAfter) const -> Problem
{
    if (isEndedByStop || isRefusedByStop())
        return problemWhenLeaving ("it waited in the queue");

    return withRetry (makeProblem (ErrorKind::overloaded), retryAfter);
}

auto RoutedRequestRunner::endOfWaiting() const -> TimePoint
{
    const auto wait =
        std::chrono::duration_cast<Duration> (request.route->latencyTarget * queueShareOfTarget);
    return std::min (request.deadline, request.accepted + wait);
}

auto RoutedRequestRunner::waitForPlace() -> Task<void>
{
    const auto end = endOfWaiting();

    while (! isCallerGone && ! isEndedByStop && ! isRefusedByStop() && BootClock::now() < end &&
           state.replicas.mustWaitForPlace (request.service, tried, BootClock::now()))
        co_await pauseFor (state.loop, placePause);
}

auto RoutedRequestRunner::enterQueue() -> Task<ServiceQueues::PermitOutcome>
{
    QueuedRequest wanted;
    wanted.account = request.accountName();
    wanted.cost = std::max (1.0, request.caller.promptTokens + request.caller.answerTokens);
    wanted.deadline = endOfWaiting();
    return state.queues.acquire (request.service, std::move (wanted), maxQueued, queueWake);
}

auto RoutedRequestRunner::isRefusedByStop() const -> bool
{
    if (! state.stop)
        return false;

    auto asked = atStop (request);
    asked.deadline = askedDeadline;

    // Another attempt may still give the answer of a request that may have run.
    if (failures.mayHaveRun > 0)
        asked.expectedTime = Duration::zero();

    return verdictAtStop (asked, *state.stop, BootClock::now()) == StopVerdict::refused;
}

auto RoutedRequestRunner::followStop() -> void
{
    if (! state.stop || isCallerGone || isEndedByStop)
        return;

    const auto now = BootClock::now();
    cutDeadlineAtStop (now);

    if (isRefusedByStop())
        queueWake->notify();

    const auto hasAnswer = exchange.hasBegun() || attemptFirstByte.has_value();

    if (! mustEnd (*state.stop, hasAnswer, now))
        return;

    isEndedByStop = true;
    queueWake->notify();
    LogLine ("request_ended_by_stop")
        .with ("request", request.caller.id)
        .with ("sends", attemptCount)
        .with ("caller_has", toString (callerProgress()))
        .info();

    if (currentCall != nullptr)
        currentCall->cancel();
}

auto RoutedRequestRunner::cutDeadlineAtStop (TimePoint now) -> void
{
    if (request.deadline <= state.stop->lastAnswer)
        return;

    LogLine ("request_at_stop")
        .with ("request", request.caller.id)
        .with ("verdict", toString (verdictAtStop (atStop (request), *state.stop, now)))
        .with ("under_way", currentCall != nullptr ? "yes" : "no")
        .with ("asked_milliseconds", inMilliseconds (request.deadline - now))
        .with ("left_milliseconds", inMilliseconds (state.stop->lastAnswer - now))
        .info();
    request.deadline = state.stop->lastAnswer;
}

auto RoutedRequestRunner::failureBeforeSending() const -> Failure
{
    if (isCallerGone)
        return AttemptOutcome { CallStage::notSent, FailureCause::abandoned };

    if (isEndedByStop || isRefusedByStop())
        return AttemptOutcome { CallStage::notSent, FailureCause::nodeLeaving };

    if (BootClock::now() >= request.deadline)
        return AttemptOutcome { CallStage::notSent, FailureCause::deadline };

    return {};
}

auto RoutedRequestRunner::runAttempts() -> Task<void>
{
    while (! isCallerGone)
    {
        const auto outcome = co_await attempt();

        if (outcome)
            recordFailure (failures, *outcome);

        // Further attempts may fail without a part of their own.
        if (outcome && exchange.hasBegun() && partEndedAt == TimePoint())
        {
            partEndedAt = BootClock::now();
            provenAtPartEnd = directoryProvenAt (state.storeUpdates);
        }

        if (! outcome || isCallerGone)
            break;

        const auto addressState = co_await examineReplica (*outcome);

        if (isCallerGone)
            break;

        if (addressState != toString (EndpointState::reachedByOthers))
            recordForRollout (outcome, 0);

        const auto partialEventBytes = events.partialEvent().size();
        const auto decision = decide (*outcome);

        attemptFailedLine (request.caller.id, attemptCount, *outcome, decision)
            .with ("replica", lastReplica.name)
            .with ("replica_address", addressState)
            .with ("fingerprint", toString (request.subjects.request))
            .with ("parts", toString (request.subjects.parts))
            .with ("answered_milliseconds",
                   answerBegan() ? inMilliseconds (BootClock::now() - *answerBegan()) : -1.0)
            .with ("framing", framingName())
            .with ("partial_event_bytes", partialEventBytes)
            .with ("caller_has", toString (callerProgress()))
            .with ("ran", toString (ranAfter (*outcome)))
            .info();

        if (! decision.shouldRetry)
        {
            co_await respondWithFailure (*outcome, decision);
            co_return;
        }

        state.counts.retries.add();
        co_await pauseFor (state.loop, decision.pause);
    }

    if (isCallerGone)
    {
        state.counts.callersGone.add();
        logEnd ("caller_gone", 0);
    }
}

auto RoutedRequestRunner::attempt() -> Task<Failure>
{
    const auto assessment = co_await waitForVerdict();
    ++attemptCount;

    if (assessment.verdict == CrashVerdict::stopped)
    {
        state.crashes.reportStopped (request.subjects.request, request.caller.id, assessment,
                                     BootClock::now());
        co_return AttemptOutcome { CallStage::notSent, FailureCause::stopped };
    }

    // The caller may have disconnected, or the deadline passed, during the wait for a verdict.
    if (const auto failure = failureBeforeSending())
        co_return failure;

    co_await waitForPlace();

    if (const auto failure = failureBeforeSending())
        co_return failure;

    if (attemptCount == 1)
        state.requestRates.record (request.service, BootClock::now());

    auto taken = selectReplica (assessment);

    if (! taken)
        co_return outcomeWithoutReplica();

    state.counts.attempts.add();
    auto ticket = taken->ticket;
    state.work.record (request.service, ticket.expectedTokens, BootClock::now());
    tried.push_back (ticket.number);

    state.announcePrompt ({ {}, replicaHash (ticket.info.name), ticket.expectedTokens });

    lastNumber = ticket.number;
    lastReplica = ticket.info;
    lastExpectedTokens = ticket.expectedTokens;
    logRoute (*taken);

    const CrashRecords::RunningAttempt running (state.crashes.evidence(), request.subjects, BootClock::now());
    UpstreamCall call (state.pool, parseEndpoint (ticket.info.endpoint), timeouts());
    currentCall = &call;
    attemptFirstByte.reset();
    relay.reset();
    hasAskedForRest = false;
    isRunProven = false;
    framing.reset();
    const auto outcome = co_await callReplica (call, ticket);
    currentCall = nullptr;
    direct.reset();
    recordNewConnectionEnd (call, outcome);

    if (! outcome)
        recordForRollout (outcome, call.status());

    // A replica that asks for rest is well, also where its rejection doesn't say that the request has not run.
    const auto health = isCallerGone      ? AttemptHealth::neutral
                        : hasAskedForRest ? AttemptHealth::refused
                        : outcome         ? attemptHealthOf (*outcome)
                                          : AttemptHealth::good;
    state.replicas.release (ticket, health, BootClock::now());
    co_return outcome;
}

auto RoutedRequestRunner::logRoute (const TakenReplica& taken) const -> void
{
    const auto& chosen = taken.choice.candidates.front();
    const auto loadAge = taken.choice.loadAge;
    LogLine ("route")
        .with ("request", request.caller.id)
        .with ("service", request.service)
        .with ("attempt", attemptCount)
        .with ("replica", lastReplica.name)
        .with ("software_version", lastReplica.version)
        .with ("score", chosen.score)
        .with ("uncached", chosen.uncachedTokens)
        .with ("believed", taken.choice.requestEstimate)
        .with ("pending_tokens", taken.choice.pendingTokens)
        .with ("load_age_milliseconds", loadAge ? inMilliseconds (*loadAge) : -1.0)
        .with ("reason", taken.choice.reason)
        .with ("usable", taken.choice.usable)
        .with ("rest_ended_milliseconds", taken.restEnded ? inMilliseconds (*taken.restEnded) : -1.0)
        .info();
}

auto RoutedRequestRunner::outcomeWithoutReplica() -> AttemptOutcome
{
    // What resting replicas don't take is work all the same, for the order of replicas.
    if (attemptCount == 1 && state.replicas.hasResting (request.service, BootClock::now()))
        state.work.record (request.service, prompt.ownTokens(), BootClock::now());

    lastReplica = {};
    tried.clear();
    return { CallStage::notSent, isVersionGone() ? FailureCause::versionGone : FailureCause::noReplica };
}

auto RoutedRequestRunner::callReplica (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Failure>
{
    if (auto failure = co_await connect (call))
        co_return failure;

    // The replicas that began the stream and go on with it may have started again, with another version, since the list was
    // proven.
    if (goesOn() && request.requiredVersion && ! co_await waitForVersionProof (call.connectedAt()))
        co_return AttemptOutcome { CallStage::notSent, FailureCause::versionGone };

    // While the connection was made, other answers may have shown that the replica is to get no request.
    if (state.replicas.isWithdrawn (ticket.number, BootClock::now()))
        co_return AttemptOutcome { CallStage::notSent, FailureCause::moved };

    // The same is true of this node's shutdown.
    if (isEndedByStop || isRefusedByStop())
        co_return AttemptOutcome { CallStage::notSent, FailureCause::nodeLeaving };

    auto& message = request.caller.message;
    state.protocol.setFields (message, attemptFields (ticket));
    sentAt = BootClock::now();

    direct.reset();
    std::optional<ListedAttempt> listed;

    if (! call.isThroughRelay())
    {
        direct.emplace (DirectAttempt { call, mayRunAgain(), sentAt, isPathTrial });
        listed.emplace (state.directAttempts, *direct);
    }

    if (message.method() == http::verb::head)
        call.expectNoBody();

    if (const auto error = co_await call.sendAndReadHeader (message))
        co_return makeOutcome (call, failureCauseOf (error));

    const auto answer = state.protocol.readAnswer (call.header(), request.caller.id);

    if (auto failure = processHead (call, answer, ticket))
        co_return failure;

    // A success without a body, as to a HEAD request, is whole already.
    if (exchange.hasBegun() ||
        (request.route->kind == RouteKind::stream && answer.isSuccess && ! call.isDone()))
        co_return co_await relayStream (call);

    co_return co_await relayPlain (call);
}

auto RoutedRequestRunner::connect (UpstreamCall& call) -> Task<Failure>
{
    const auto isThroughOthers = connectsThroughOthers (state, BootClock::now());
    isPathTrial = isThroughOthers && triesPaths();

    if (! isThroughOthers || isPathTrial)
    {
        // A reused connection may have been closed unnoticed by the replica, which fails the request; a request that
        // must run at most once could then not be retried, so it gets a new connection.
        const auto error = co_await call.connect (request.route->isRepeatable() && ! isPathTrial);

        if (! error)
            co_return Failure {};

        if (isCallerGone || isEndedByStop || BootClock::now() >= request.deadline)
            co_return makeOutcome (call, FailureCause::connectFailed);

        isPathTrial = false;
        recordConnectFailure (state, lastReplica.name, BootClock::now());

        if (! connectsThroughOthers (state, BootClock::now()))
            co_return makeOutcome (call, FailureCause::connectFailed);
    }

    const auto [outcome, node] =
        co_await connectThroughRelay (state, call, lastReplica, request.caller.id, request.deadline);
    relay = node;

    if (outcome == RelayOutcome::connected)
        co_return Failure {};

    if (outcome == RelayOutcome::replicaResting)
        co_return makeOutcome (call, FailureCause::moved);

    // Only what other nodes reach is no replica's fault.
    const auto isOwnFault = outcome == RelayOutcome::noRelay && state.paths.isReachedByOthers;
    co_return makeOutcome (call, isOwnFault ? FailureCause::pathLost : FailureCause::connectFailed);
}

auto RoutedRequestRunner::triesPaths() -> bool
{
    const auto now = BootClock::now();

    // A failure must not reach the caller: the request would have been served through another node.
    if (! mayTryPaths (state.paths, now) || ! mayRunAgain() || ! reserveRetry())
        return false;

    recordTrial (state.paths, now);
    LogLine ("replica_paths_tried")
        .with ("request", request.caller.id)
        .with ("replica", lastReplica.name)
        .with ("lost_milliseconds", inMilliseconds (now - *state.paths.lostSince))
        .info();
    return true;
}

auto RoutedRequestRunner::reserveRetry() -> bool
{
    if (! hasReservedRetry)
        hasReservedRetry = state.retryBudgets.take ({}, request.service);

    return hasReservedRetry;
}

auto RoutedRequestRunner::recordNewConnectionEnd (const UpstreamCall& call, const Failure& outcome) -> void
{
    // A network may accept connections for a replica and then reset them.
    if (outcome && outcome->cause == FailureCause::cut && outcome->stage != CallStage::receiving &&
        call.isNewConnection())
        recordConnectFailure (state, lastReplica.name, BootClock::now());
}

auto RoutedRequestRunner::recordBytes (const UpstreamCall& call) -> void
{
    if (! direct)
        return;

    direct->lastBytes = BootClock::now();
    const auto connectedAt = call.isNewConnection() ? std::optional (sentAt) : std::nullopt;
    recordReplicaContact (state, connectedAt, direct->lastBytes);
}

auto RoutedRequestRunner::processHead (UpstreamCall& call,
                                       const UpstreamAnswer& answer,
                                       ReplicaTicket& ticket) -> Failure
{
    const auto now = BootClock::now();
    framing = call.framing();
    recordBytes (call);

    if (! answer.belongsToRequest)
    {
        call.preventReuse();
        return makeOutcome (call, FailureCause::invalid);
    }

    logUnreadable (answer);
    logStated (answer, now);
    recordRest (answer, now);
    recordStatements (answer, ticket, now);
    recordLeaving (answer, now);

    if (answer.wasNotRun)
        return makeOutcome (call,
                            answer.isAddressReassigned ? FailureCause::misdirected : FailureCause::refused);

    // Requests that a replica starts and then fails count as usage too. When only relayed answers were counted, the
    // usage report lacked a twelfth of a window's requests while replicas failed 45% of theirs.
    countUsage();

    AnswerUseInput input;
    input.progress = callerProgress();
    input.status = call.status();
    input.hasEvents = call.hasEvents();
    input.promisesNotRun = answer.promisesNotRun;
    input.isRepeatable = request.route->isRepeatable();
    input.mayRunAgain = mayRunAgain();

    if (useOfAnswer (input) == AnswerUse::discard)
        return makeOutcome (call, FailureCause::failed);

    if (answer.isSuccess)
        state.replicas.recordWait (request.service, prompt.ownTokens(), now - sentAt);

    attemptFirstByte = now - sentAt;

    firstByte = now - request.accepted;
    state.counts.firstByte.add (*firstByte);
    state.replicas.recordAnswerStart (ticket, prompt.blocks, prompt.tokens);
    return {};
}

auto RoutedRequestRunner::logUnreadable (const UpstreamAnswer& answer) const -> void
{
    const auto log =
        [this] (std::string_view event, const char* metric, std::string_view field, const std::string& text)
    {
        if (text.empty())
            return;

        state.metrics.counter (metric).add();
        LogLine (event)
            .with ("request", request.caller.id)
            .with ("replica", lastReplica.name)
            .with (field, text)
            .warning();
    };

    log ("load_unreadable", "snowrudder_unreadable_loads_total", "load", answer.unreadableLoad);
    log ("rate_limit_unreadable", "snowrudder_unreadable_rate_limits_total", "limit",
         answer.unreadableRateLimit);
    log ("rejection_limit_unreadable", "snowrudder_unreadable_rejection_limits_total", "limit",
         answer.unreadableRejectionLimit);
    log ("leaving_unreadable", "snowrudder_unreadable_leavings_total", "leaving", answer.unreadableLeaving);
    log ("rest_unreadable", "snowrudder_unreadable_rests_total", "rest", answer.unreadableRest);
}

auto RoutedRequestRunner::logStated (const UpstreamAnswer& answer, TimePoint now) const -> void
{
    if (! answer.statesLeaving && ! answer.rest)
        return;

    LogLine ("answer_stated")
        .with ("request", request.caller.id)
        .with ("replica", lastReplica.name)
        .with ("service", request.service)
        .with ("leaving", answer.statesLeaving ? "yes" : "no")
        .with ("rest_milliseconds", answer.rest ? inMilliseconds (*answer.rest) : -1.0)
        .with ("sent_milliseconds", inMilliseconds (now - sentAt))
        .info();
}

auto RoutedRequestRunner::recordRest (const UpstreamAnswer& answer, TimePoint now) -> void
{
    // The answer of another replica at its address says nothing of this one.
    if (! answer.rest || answer.isAddressReassigned)
        return;

    hasAskedForRest = true;
    const auto incarnation = incarnationHash (lastReplica);
    state.replicas.recordRest (incarnation, *answer.rest, now);

    // To the replica, the request came from the node that relayed it.
    if (relay)
        state.passOnRest (*relay, { {}, incarnation, *answer.rest });
}

auto RoutedRequestRunner::recordLeaving (const UpstreamAnswer& answer, TimePoint now) -> void
{
    const auto incarnation = incarnationHash (lastReplica);

    // The answer is that of another replica, which says nothing of this one but that it has its address.
    if (answer.isAddressReassigned)
        state.showLeaving (incarnation, "address_reassigned", request.caller.id, now);
    else if (answer.statesLeaving && state.showLeaving (incarnation, "answer", request.caller.id, now))
        addLeavingNews (state.leavingNews, incarnation, false, now);
}

auto RoutedRequestRunner::recordStatements (const UpstreamAnswer& answer,
                                            const ReplicaTicket& ticket,
                                            TimePoint now) -> void
{
    const auto replica = replicaHash (ticket.info.name);
    const auto known = state.replicas.rateLimit (replica);
    const auto rateLimit = answer.unreadableRateLimit.empty() ? answer.rateLimit : known;

    const auto knownRejections = state.replicas.rejectionLimit (replica);
    const auto rejections = answer.unreadableRejectionLimit.empty() ? answer.rejectionLimit : knownRejections;

    // An answer of another replica at its address says nothing of this one.
    if (! answer.isAddressReassigned)
    {
        state.recordRateLimit (replica, rateLimit, now, now);
        state.recordRejectionLimit (replica, rejections, now);
    }

    if (answer.wasNotRun && ! answer.isAddressReassigned)
        state.replicas.recordRejection (ticket.number, answer.load, now);

    if (answer.load)
        state.replicas.recordLoad (ticket.number, *answer.load, now);

    if (! answer.load && ! rateLimit && ! known && ! rejections && ! knownRejections)
        return;

    const auto load = answer.load.value_or (LoadReport());
    state.loads.record ({ replica, load.running, load.waiting, Duration::zero(), answer.load.has_value(),
                          rateLimit, rejections },
                        true, now);
}

auto RoutedRequestRunner::relayPlain (UpstreamCall& call) -> Task<Failure>
{
    std::string body;

    if (const auto error = co_await readAhead (
            call, body, [this] (std::size_t bytes) { return exchange.holdResponse (bytes); }))
        co_return makeOutcome (call, failureCauseOf (error));

    // The caller gets a part of the answer, so that no other replica can go on with it.
    if (direct)
        direct->mayContinueElsewhere = false;

    const std::string keepUpstreamId;
    const auto status = call.status();
    co_await relayAnswer (exchange, call, std::move (body), keepUpstreamId);
    state.counts.wholeAnswer.add (BootClock::now() - request.accepted);
    recordSuccess (call);
    logEnd (exchange.hasEnded() ? "answered" : "broken_off", status);

    // The caller has part of the answer, so there is no retry. The end of the connection is still examined, since it
    // may be evidence that the request crashed the replica.
    if (! call.isDone() && ! isCallerGone)
        co_await examineReplica (makeOutcome (call, FailureCause::cut));

    co_return Failure {};
}

auto RoutedRequestRunner::relayStream (UpstreamCall& call) -> Task<Failure>
{
    if (! exchange.hasBegun())
    {
        bindVersion();

        if (! request.resumedStream)
            boundAt = call.connectedAt();

        isRelayingOther = ! call.hasEvents();

        if (co_await exchange.beginStream (relayedHead (call)))
            co_return Failure {};
    }

    std::string piece;

    while (! call.isDone())
    {
        if (const auto error = co_await call.readSome (piece))
            co_return makeOutcome (call, failureCauseOf (error));

        recordBytes (call);
        const auto completeEvents = events.add (piece);

        // An event that is held back until it is complete is too long where the memory for requests is full.
        if (! exchange.holdResponse (events.heldBytes()) && events.heldBytes() > ordinaryEventBytes)
            co_return makeOutcome (call, FailureCause::invalid);

        if (! completeEvents.empty())
        {
            recordPause();
            recordProvenRun();
        }

        if (co_await exchange.writeBodyPart (completeEvents))
            co_return Failure {};

        if (! events.isTooLong())
            continue;

        if (call.hasEvents())
            co_return makeOutcome (call, FailureCause::invalid);

        if (co_await exchange.writeBodyPart (events.partialEvent()))
            co_return Failure {};

        events.dropPartial();
    }

    // The rest of a body that isn't a stream of events, or empty lines after the last event.
    if (events.hasPartial())
        if (co_await exchange.writeBodyPart (events.partialEvent()))
            co_return Failure {};

    recordSuccess (call);
    co_await exchange.endStream();
    state.counts.wholeAnswer.add (BootClock::now() - request.accepted);
    logEnd ("answered", call.status());
    co_return Failure {};
}

auto RoutedRequestRunner::examineReplica (const AttemptOutcome& outcome) -> Task<std::string_view>
{
    if (! mayIndicateCrash (outcome))
        co_return "not_asked";

    const auto now = BootClock::now();
    const auto subjects = isRunProven ? CrashSubjects (request.subjects.request) : request.subjects;
    InterruptedAttempt ended { subjects,
                               request.caller.id,
                               request.accountName(),
                               lastNumber,
                               lastReplica,
                               now,
                               now - answerBegan().value_or (sentAt) };
    co_return co_await state.crashes.examine (state.probes, std::move (ended));
}

auto RoutedRequestRunner::waitForVerdict() -> Task<CrashAssessment>
{
    return state.crashes.waitForVerdict (state.loop, request.subjects, request.service,
                                         [this] { return failureBeforeSending().has_value(); });
}

auto RoutedRequestRunner::waitForVersionProof (TimePoint connectedAt) -> Task<bool>
{
    const auto began = BootClock::now();
    VersionProofInput input;
    input.boundAt = boundAt;
    input.connectedAt = connectedAt;
    input.replica = lastReplica.name;
    input.version = lastReplica.version;
    input.isTakenUp = ! exchange.hasBegun();
    input.isOnlyVersion = firstReplica.empty() && ! request.resumedStream;
    input.waitingSince = began;
    input.endedAt = partEndedAt;
    input.provenAtEnd = provenAtPartEnd;

    if (! firstReplica.empty())
        input.firstReplica = shortReplicaHash (firstReplica);
    else if (request.resumedStream)
        input.firstReplica = request.resumedStream->origin.replica;

    const auto prove = [&]
    {
        input.provenAt = directoryProvenAt (state.storeUpdates);
        input.isStoreReached = state.isStoreReached;
        return proveVersions (input, state.versions, BootClock::now());
    };

    auto proof = prove();

    while (! isCallerGone && BootClock::now() < std::min (request.deadline, began + proofWait (input, proof)))
    {
        co_await pauseFor (state.loop, versionProofPause);
        proof = prove();
    }

    // Another version may have come while the stream waited.
    const auto isStillOnly = [&]
    {
        const auto only = state.versions.onlyVersion (request.service, state.versionRegistry, input.provenAt,
                                                      BootClock::now());
        return only && *only == lastReplica.version;
    };

    if (input.isOnlyVersion && proof == VersionProof::known && ! isStillOnly())
        proof = VersionProof::changed;

    auto isEnough = maySendOn (input, proof, BootClock::now());
    const auto isAsked = isEnough && proof != VersionProof::known;

    if (isAsked)
        isEnough = co_await isInStep (state, request) && maySendOn (input, prove(), BootClock::now());

    const auto now = BootClock::now();

    if (proof != VersionProof::known || now - began >= versionProofPause)
        LogLine ("version_proof")
            .with ("request", request.caller.id)
            .with ("replica", lastReplica.name)
            .with ("software_version", lastReplica.version)
            .with ("outcome", toString (proof))
            .with ("goes_on", isEnough ? "yes" : "no")
            .with ("asked", isAsked ? "yes" : "no")
            .with ("list_milliseconds", inMilliseconds (now - input.provenAt))
            .with ("connection_milliseconds", inMilliseconds (now - connectedAt))
            .with ("waited_milliseconds", inMilliseconds (now - began))
            .info();

    co_return isEnough;
}

auto RoutedRequestRunner::versionRule (bool isFirst) const -> VersionRule
{
    return state.rollouts.ruleFor (state.directory, request.service, hashBytes (request.caller.id), isFirst);
}

auto RoutedRequestRunner::ruleForAttempt() -> VersionRule
{
    auto rule = versionRule (attemptCount == 1);

    if (! rule.isTrial || ! mayRunAgain())
        return rule;

    // Without a retry left in the budget, a failure of the unproven version would reach the caller.
    return reserveRetry() ? rule : versionRule (false);
}

auto RoutedRequestRunner::bindVersion() -> void
{
    firstReplica = lastReplica.name;
    request.requiredVersion = lastReplica.version;
    announceStream (state, request, lastReplica);
}

auto RoutedRequestRunner::isVersionGone() const -> bool
{
    if (! request.requiredVersion)
        return false;

    const auto isAmbiguous = ! firstReplica.empty() && state.versions.hasChangedVersion (
                                                           shortReplicaHash (firstReplica), BootClock::now());
    return isAmbiguous || state.versions.replicaCount ({ request.service, *request.requiredVersion }) == 0;
}

auto RoutedRequestRunner::selectReplica (const CrashAssessment& assessment) -> std::optional<TakenReplica>
{
    const auto now = BootClock::now();
    const SuspectRanking ranking (state.crashes.evidence(), assessment, prompt.tokens);
    auto input = choiceInput (prompt, tried, state.nodeCount (now), randomNumber());
    ranking.applyTo (input);

    // The version of a stream goes before the rule of a roll-out.
    if (request.requiredVersion)
    {
        if (isVersionGone())
            return {};

        input.onlyVersion = *request.requiredVersion;
        return state.replicas.take (request.service, input, routedWeights(), now);
    }

    std::vector<std::string> heldBack;

    if (request.route->kind == RouteKind::stream && request.route->canResume)
        heldBack = state.versions.heldBack (request.service, state.versionRegistry, now);

    input.heldBackVersions = heldBack;
    const auto rule = ruleForAttempt();

    if (auto taken = selectByRule (input, rule, now); taken || rule.kind != VersionRule::Kind::only)
        return taken;

    // If the unproven version has no usable replica, its share of requests goes to the version in service.
    const auto isFirst = false;
    return selectByRule (input, versionRule (isFirst), now);
}

auto RoutedRequestRunner::selectByRule (ChoiceInput input, const VersionRule& rule, TimePoint now)
    -> std::optional<TakenReplica>
{
    if (rule.kind == VersionRule::Kind::only)
        input.onlyVersion = rule.version;

    if (rule.kind == VersionRule::Kind::allBut)
        input.exceptVersion = rule.version;

    return state.replicas.take (request.service, input, routedWeights(), now);
}

auto RoutedRequestRunner::recordForRollout (const Failure& outcome, unsigned status) -> void
{
    const auto isInconclusive = [&outcome]
    {
        if (! outcome)
            return false;

        return ranAfter (*outcome) == Ran::no || outcome->cause == FailureCause::abandoned ||
               outcome->cause == FailureCause::deadline || outcome->cause == FailureCause::pathLost ||
               outcome->cause == FailureCause::nodeLeaving;
    };

    // A stream that a caller takes up goes to its version whatever the share on trial, and says little about a first event.
    if (attemptCount > 1 || isCallerGone || request.caller.resumesStream || hasAskedForRest ||
        isInconclusive())
        return;

    constexpr auto serverErrors = 500U;
    const auto isFailed = outcome.has_value() || status >= serverErrors;
    state.rollouts.recordAnswer (lastReplica, request.route->name, isFailed, attemptFirstByte,
                                 lastExpectedTokens,
                                 state.replicas.promptSpeed (request.service).value_or (initialPromptSpeed));
}

auto RoutedRequestRunner::decide (const AttemptOutcome& outcome) -> RetryDecision
{
    RetryInput input;
    input.repeatable = request.route->isRepeatable();
    input.mayHaveRun = possibleRuns() > 0;
    input.attempts = countedAttempts (failures, uncountedRefusals);
    // An attempt that no replica ran doesn't count towards the route's maximum, so one more is allowed.
    input.mostAttempts = request.route->mostAttempts + (ranAfter (outcome) == Ran::no ? 1 : 0);
    input.deadline = request.deadline;
    input.jitter = randomFraction();

    auto decision = decideAfterFailure (outcome, input, BootClock::now());
    events.dropPartial();

    if (! mayGoOn (callerProgress()))
        decision.shouldRetry = false;

    if (decision.shouldRetry && ! request.route->isRepeatable() && possibleRuns() > 0)
    {
        state.metrics.counter ("snowrudder_broken_invariants_total").add();
        LogLine ("invariant_broken")
            .with ("request", request.caller.id)
            .with ("invariant", "a request marked not repeatable runs at most once")
            .error();
        decision.shouldRetry = false;
    }

    if (decision.shouldRetry && decision.takesBudget)
        decision.shouldRetry =
            std::exchange (hasReservedRetry, false) || state.retryBudgets.take ({}, request.service);

    if (decision.shouldRetry && exchange.hasBegun())
        state.counts.resumed.add();

    return decision;
}

auto RoutedRequestRunner::respondWithFailure (const AttemptOutcome& outcome, const RetryDecision& decision)
    -> Task<void>
{
    // An answer that was partly relayed can't be replaced by an error: closing the connection early shows that it is
    // incomplete.
    if (exchange.hasBegun())
    {
        logEnd ("broken_off", 0);
        co_return;
    }

    const auto now = BootClock::now();
    LastFailure last;
    last.outcome = outcome;
    last.decision = decision;
    last.mayHaveRun = possibleRuns() > 0;
    last.isRepeatable = request.route->isRepeatable();
    last.isLate = now >= request.deadline;

    if (! last.mayHaveRun)
        last.retryDelay =
            state.replicas.retryDelay (request.service, startTime(), now).value_or (Duration::zero());

    co_await respondWithProblem (problemAfterLast (last));
}

auto RoutedRequestRunner::startTime() const -> std::optional<Duration>
{
    const auto& services = request.configuration->services;
    const auto found = services.find (request.service);

    if (found == services.end() || ! found->second.scaling)
        return {};

    return found->second.scaling->bootTime;
}

auto RoutedRequestRunner::respondWithProblem (Problem problem) -> Task<void>
{
    const auto status = errorDescription (problem.kind).status;
    logEnd (toString (problem.kind), status);
    co_await exchange.respond (state.protocol.problem (problem, request.caller.id));
}

auto RoutedRequestRunner::countUsage() -> void
{
    if (isUsageCounted || ! request.account)
        return;

    isUsageCounted = true;
    state.usage.record (request.account->name, state.trueTime.now (BootClock::now()));
}

auto RoutedRequestRunner::recordSuccess (const UpstreamCall& call) -> void
{
    const auto now = BootClock::now();

    if (call.hasSucceeded())
        state.crashes.recordSuccess (request.subjects, answerBegan().value_or (now), now);
}

auto RoutedRequestRunner::recordProvenRun() -> void
{
    const auto now = BootClock::now();
    const auto began = answerBegan();

    if (isRunProven || ! began || now - *began < provenRunTime)
        return;

    isRunProven = true;
    state.crashes.recordProvenRun (request.subjects, *began, now);
}

auto RoutedRequestRunner::recordPause() -> void
{
    const auto now = BootClock::now();

    if (lastEventsAt)
        longestPause = std::max (longestPause, now - *lastEventsAt);

    lastEventsAt = now;
}

auto RoutedRequestRunner::onCallerGone() -> void
{
    isCallerGone = true;

    if (currentCall != nullptr)
        currentCall->cancel();
}

auto RoutedRequestRunner::logEnd (std::string_view outcome, unsigned status) -> void
{
    LogLine ("request_ended")
        .with ("request", request.caller.id)
        .with ("service", request.service)
        .with ("account", request.accountName())
        .with ("route", request.route->name)
        .with ("version", request.configuration->version)
        .with ("proof_milliseconds", request.proofMilliseconds)
        .with ("outcome", outcome)
        .with ("status", status)
        .with ("sends", attemptCount)
        .with ("runs", possibleRuns())
        .with ("replica", lastReplica.name)
        .with ("framing", framingName())
        .with ("partial_event_bytes", events.partialEvent().size())
        .with ("caller_has", toString (callerProgress()))
        .with ("prompt_tokens", request.caller.promptTokens)
        .with ("parts", toString (request.subjects.parts))
        .with ("first_byte_milliseconds", firstByte ? inMilliseconds (*firstByte) : -1.0)
        .with ("longest_pause_milliseconds", inMilliseconds (longestPause))
        .with ("milliseconds", inMilliseconds (BootClock::now() - request.accepted))
        .info();
}

auto RoutedRequestRunner::attemptFields (const ReplicaTicket& ticket) const -> AttemptFields
{
    const auto left = std::chrono::floor<milliseconds> (request.deadline - BootClock::now());
    AttemptFields fields;
    fields.replica = ticket.info.name;
    fields.account = request.accountName();
    fields.timeLeft = std::max (milliseconds (1), left);
    fields.urgency = urgencyOf (request);
    fields.lastEventId = events.lastEventId();
    return fields;
}

auto RoutedRequestRunner::timeouts() const -> CallTimeouts
{
    CallTimeouts waits;
    waits.connect = connectTimeout;
    waits.firstByte = waits.idle = request.deadline - request.accepted;
    waits.end = request.deadline;
    return waits;
}

auto RoutedRequestRunner::callerProgress() const -> CallerProgress
{
    if (! exchange.hasBegun())
        return CallerProgress::nothing;

    if (isRelayingOther || ! events.mayBeContinued())
        return CallerProgress::partOfOther;

    return events.lastEventId().empty() ? CallerProgress::head : CallerProgress::events;
}

auto RoutedRequestRunner::mayRunAgain() const -> bool
{
    return request.route->isRepeatable() && possibleRuns() < request.route->mostAttempts &&
           BootClock::now() < request.deadline;
}

auto RoutedRequestRunner::makeOutcome (const UpstreamCall& call, FailureCause cause) const -> AttemptOutcome
{
    if (isCallerGone)
        cause = FailureCause::abandoned;
    else if (direct && (direct->isLost || (isPathTrial && cause == FailureCause::cut && ! attemptFirstByte)))
        cause = FailureCause::pathLost;
    else if (isEndedByStop || (isCutShort() && BootClock::now() >= request.deadline))
    {
        // What the replica has answered stays.
        const auto isOwnEnd = cause == FailureCause::cut || cause == FailureCause::timedOut ||
                              cause == FailureCause::connectFailed;
        cause = isOwnEnd ? FailureCause::nodeLeaving : cause;
    }

    return { call.stage(), cause };
}

} // namespace snowrudder
