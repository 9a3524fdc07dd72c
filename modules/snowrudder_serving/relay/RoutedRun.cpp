#include "RoutedRun.h"

#include "../attempt/AttemptErrors.h"
#include "../crashes/SuspectRanking.h"
#include "../queue/PlaceGuard.h"
#include "AnswerRelay.h"

#include <algorithm>
#include <utility>

namespace snowrudder
{

namespace
{

using std::chrono::milliseconds;

/** A connection inside the platform comes up within a few milliseconds; a VM without power never answers. */
constexpr auto connectTime = 250ms;

/** Attempts that a replica declined and that don't count against the route's own number. */
constexpr auto freeDeclines = std::uint32_t { 2 };

/** Requests of one account that may wait at this node. */
constexpr auto mostQueued = std::uint32_t { 256 };

/** Of the latency target, the part that waiting for a place may take. */
constexpr auto queueShareOfTarget = 0.6;

/** When to come back after a refusal that a replica or a connection caused: another node or replica may do. */
constexpr auto shortRetry = 100ms;

} // namespace

RoutedRun::RoutedRun (ServingState& servingState, Exchange& callerExchange, RoutedRequest routedRequest)
    : state (servingState), exchange (callerExchange), request (std::move (routedRequest)),
      prompt (promptOf (request.caller))
{
    ++state.openRequests;
}

RoutedRun::~RoutedRun()
{
    exchange.stopWatching();
    --state.openRequests;

    if (hasRetryInHand)
        state.retryBudgets.giveBack ({}, request.service);
}

auto RoutedRun::run() -> Task<void>
{
    constexpr auto percent = 100.0;
    state.retryBudgets.earn ({}, request.service, state.settings.retryShare * percent);
    exchange.watchCaller ([this] { onCallerGone(); });

    const auto place = co_await enterQueue();
    state.counts.queueWait.add (SteadyClock::now() - request.accepted);

    if (! place.granted)
    {
        if (! isCallerGone)
            co_await refuse (withRetry (makeProblem (ErrorKind::overloaded), place.retryAfter));

        co_return;
    }

    const PlaceGuard guard (state.queues, request.service, request.accountName());
    co_await runAttempts();
}

auto RoutedRun::enterQueue() -> Task<ServiceQueues::Place>
{
    const auto wait =
        std::chrono::duration_cast<Duration> (request.route->latencyTarget * queueShareOfTarget);
    QueuedRequest wanted;
    wanted.account = request.accountName();
    wanted.cost = std::max (1.0, request.caller.promptTokens + request.caller.answerTokens);
    wanted.deadline = std::min (request.end, request.accepted + wait);
    return state.queues.enter (request.service, std::move (wanted), mostQueued, exchange.executor());
}

auto RoutedRun::runAttempts() -> Task<void>
{
    while (! isCallerGone)
    {
        const auto outcome = co_await attempt();

        if (outcome)
            noteFailed (failures, *outcome);

        if (! outcome || isCallerGone)
            break;

        const auto after = co_await replicaAfter (*outcome);

        if (isCallerGone)
            break;

        const auto decision = decide (*outcome);

        attemptFailed (request.caller.id, sends, *outcome, decision)
            .with ("replica", lastReplica.name)
            .with ("replica_address", after)
            .with ("fingerprint", toString (request.fingerprint))
            .with ("ran", toString (ranAfter (*outcome)))
            .info();

        if (! decision.again)
        {
            co_await fail (*outcome, decision);
            co_return;
        }

        requireInvariant (request.route->isRepeatable() || runs() == 0,
                          "a request marked not repeatable runs at most once");
        state.counts.retries.add();
        co_await pauseFor (state.loop, decision.pause);
    }

    if (isCallerGone)
    {
        state.counts.callersGone.add();
        logEnd ("caller_gone", 0);
    }
}

auto RoutedRun::attempt() -> Task<Failure>
{
    const auto judgement = co_await waitForVerdict();
    ++sends;

    if (judgement.verdict == CrashVerdict::stopped)
    {
        state.crashes.noteStopped (request.fingerprint, request.caller.id, judgement, SteadyClock::now());
        co_return AttemptOutcome { CallStage::notSent, FailureCause::stopped };
    }

    // The wait for a verdict may have outlasted the caller or the request's time.
    if (isCallerGone || SteadyClock::now() >= request.end)
        co_return AttemptOutcome { CallStage::notSent,
                                   isCallerGone ? FailureCause::abandoned : FailureCause::deadline };

    auto taken = takeReplica (judgement);

    if (! taken)
    {
        lastReplica = {};
        tried.clear();
        co_return AttemptOutcome { CallStage::notSent, FailureCause::noReplica };
    }

    state.counts.attempts.add();
    auto ticket = taken->ticket;
    state.work.note (request.service, ticket.expectedTokens, SteadyClock::now());
    tried.push_back (ticket.number);

    state.announcePrompt ({ {}, replicaHash (ticket.info.name), ticket.expectedTokens });

    lastNumber = ticket.number;
    lastReplica = ticket.info;
    const auto& chosen = taken->choice.candidates.front();
    const auto loadAge = taken->choice.loadAge;
    LogLine ("route")
        .with ("request", request.caller.id)
        .with ("service", request.service)
        .with ("attempt", sends)
        .with ("replica", lastReplica.name)
        .with ("score", chosen.score)
        .with ("uncached", chosen.uncachedTokens)
        .with ("believed", taken->choice.believed)
        .with ("pending_tokens", taken->choice.pendingTokens)
        .with ("load_age_milliseconds", loadAge ? inMilliseconds (*loadAge) : -1.0)
        .with ("reason", taken->choice.reason)
        .with ("usable", taken->choice.usable)
        .info();

    const CrashWatch::Running running (state.crashes, request.fingerprint);
    UpstreamCall call (state.pool, parseEndpoint (ticket.info.endpoint), timeouts());
    currentCall = &call;
    attemptFirstByte.reset();
    const auto outcome = co_await callReplica (call, ticket);
    currentCall = nullptr;
    noteForRollout (ticket, outcome, call);

    const auto health = isCallerGone ? AttemptHealth::neutral
                        : outcome    ? healthOf (*outcome)
                                     : AttemptHealth::good;
    state.replicas.release (ticket, health, SteadyClock::now());
    co_return outcome;
}

auto RoutedRun::callReplica (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Failure>
{
    // A kept connection can die unseen under a request, and one that may run once could not be sent again.
    if (co_await call.connect (request.route->isRepeatable()))
        co_return failed (call, FailureCause::connectFailed);

    auto& message = request.caller.message;
    state.protocol.setFields (message, attemptFields (ticket));
    sent = SteadyClock::now();

    if (message.method() == http::verb::head)
        call.expectNoBody();

    if (const auto error = co_await call.sendAndReadHeader (message))
        co_return failed (call, failureOf (error));

    const auto answer = state.protocol.readAnswer (call.header(), request.caller.id);

    if (auto failure = takeHead (call, answer, ticket))
        co_return failure;

    if (request.route->kind == RouteKind::stream && answer.isSuccess)
        co_return co_await relayStream (call);

    co_return co_await relayPlain (call);
}

auto RoutedRun::takeHead (UpstreamCall& call, const UpstreamAnswer& answer, ReplicaTicket& ticket) -> Failure
{
    const auto now = SteadyClock::now();

    if (! answer.isOwn)
    {
        call.preventReuse();
        return failed (call, FailureCause::invalid);
    }

    if (answer.load)
    {
        state.replicas.noteLoad (ticket.number, *answer.load, now);
        state.loads.note (
            { replicaHash (ticket.info.name), answer.load->running, answer.load->waiting, Duration::zero() },
            true, now);
    }

    if (answer.isOtherReplica)
        state.replicas.noteLeaving (ticket.number, now);

    if (answer.isNotRun)
        return failed (call, answer.isOtherReplica ? FailureCause::misdirected : FailureCause::refused);

    // A replica that began and failed has begun all the same: counted only where its answer was passed on, a twelfth of a
    // window's requests was left out of the usage report while replicas failed 45% of theirs.
    noteBegun();

    if (! events.lastEvent().empty() && ! answer.isSuccess)
        return failed (call, FailureCause::failed);

    constexpr auto serverErrors = 500U;

    if (call.status() >= serverErrors && mayRunAgain())
        return failed (call, FailureCause::failed);

    if (answer.isSuccess)
        state.replicas.noteWait (request.service, prompt.ownTokens(), now - sent);

    attemptFirstByte = now - sent;

    firstByte = now - request.accepted;
    state.counts.firstByte.add (*firstByte);
    state.replicas.noteAnswering (ticket, prompt.blocks, prompt.tokens);
    return {};
}

auto RoutedRun::relayPlain (UpstreamCall& call) -> Task<Failure>
{
    std::string body;

    if (const auto error = co_await readAhead (call, body))
        co_return failed (call, failureOf (error));

    const std::string keepUpstreamsOwn;
    const auto status = call.status();
    co_await relayAnswer (exchange, call, std::move (body), keepUpstreamsOwn);
    state.counts.wholeAnswer.add (SteadyClock::now() - request.accepted);
    noteWhole (call);
    logEnd (exchange.hasEnded() ? "answered" : "broken_off", status);

    // The caller has a part of the answer and gets no other: what ended the connection says something of the request all the same.
    if (! call.isDone() && ! isCallerGone)
        co_await replicaAfter (failed (call, FailureCause::cut));

    co_return Failure {};
}

auto RoutedRun::relayStream (UpstreamCall& call) -> Task<Failure>
{
    if (! exchange.hasBegun())
        if (co_await exchange.beginStream (relayedHead (call)))
            co_return Failure {};

    std::string piece;

    while (! call.isDone())
    {
        if (const auto error = co_await call.readSome (piece))
            co_return failed (call, failureOf (error));

        const auto whole = events.add (piece);

        if (! whole.empty())
            notePause();

        if (co_await exchange.writeBodyPart (whole))
            co_return Failure {};
    }

    // What stands behind the last whole event belongs to the body too.
    if (events.hasPartial())
        if (co_await exchange.writeBodyPart (events.partialBytes()))
            co_return Failure {};

    noteWhole (call);
    co_await exchange.endStream();
    state.counts.wholeAnswer.add (SteadyClock::now() - request.accepted);
    logEnd ("answered", call.status());
    co_return Failure {};
}

auto RoutedRun::replicaAfter (const AttemptOutcome& outcome) -> Task<std::string_view>
{
    if (! mayShowCrash (outcome))
        co_return "not_asked";

    WatchedAttempt ended { request.fingerprint, request.caller.id, request.accountName(),
                           lastNumber,          lastReplica,       SteadyClock::now() };
    co_return co_await state.crashes.examine (state.probes, std::move (ended));
}

auto RoutedRun::waitForVerdict() -> Task<CrashJudgement>
{
    return state.crashes.waitForVerdict (state.loop, request.fingerprint, request.service,
                                         [this]
                                         { return isCallerGone || SteadyClock::now() >= request.end; });
}

auto RoutedRun::ruleOf (bool isFirst) const -> VersionRule
{
    return state.rollouts.ruleFor (state.directory, request.service, hashBytes (request.caller.id), isFirst);
}

auto RoutedRun::affordableRule() -> VersionRule
{
    auto rule = ruleOf (sends == 1);

    if (! rule.isTrial || ! mayRunAgain())
        return rule;

    // Its caller would get an unproved version's failure where no retry is left to run the request again.
    hasRetryInHand = state.retryBudgets.take ({}, request.service);
    return hasRetryInHand ? rule : ruleOf (false);
}

auto RoutedRun::takeReplica (const CrashJudgement& judgement) -> std::optional<TakenReplica>
{
    const auto now = SteadyClock::now();
    const SuspectRanking ranking (state.crashes.table(), request.fingerprint, judgement, prompt.tokens);
    auto input = choiceInput (prompt, tried, state.nodeCount (now), randomNumber());
    ranking.applyTo (input);

    const auto rule = affordableRule();

    if (auto taken = takeByRule (input, rule, now); taken || rule.kind != VersionRule::Kind::only)
        return taken;

    // An unproved version without a usable replica leaves its share to the one in service.
    const auto isFirst = false;
    return takeByRule (input, ruleOf (isFirst), now);
}

auto RoutedRun::takeByRule (ChoiceInput input, const VersionRule& rule, TimePoint now)
    -> std::optional<TakenReplica>
{
    if (rule.kind == VersionRule::Kind::only)
        input.onlyVersion = rule.version;

    if (rule.kind == VersionRule::Kind::allBut)
        input.exceptVersion = rule.version;

    return state.replicas.take (request.service, input, routedWeights(), now);
}

auto RoutedRun::noteForRollout (const ReplicaTicket& ticket, const Failure& outcome, const UpstreamCall& call)
    -> void
{
    const auto saysNothing = [&outcome]
    {
        if (! outcome)
            return false;

        return ranAfter (*outcome) == Ran::no || outcome->cause == FailureCause::abandoned ||
               outcome->cause == FailureCause::deadline;
    };

    if (sends > 1 || isCallerGone || saysNothing())
        return;

    constexpr auto serverErrors = 500U;
    const auto isFailed = outcome.has_value() || call.status() >= serverErrors;
    state.rollouts.noteAnswer (ticket.info, request.route->name, isFailed, attemptFirstByte,
                               ticket.expectedTokens,
                               state.replicas.promptSpeed (request.service).value_or (startPromptSpeed));
}

auto RoutedRun::decide (const AttemptOutcome& outcome) -> RetryDecision
{
    RetryInput input;
    input.repeatable = request.route->isRepeatable();
    input.mayHaveRun = runs() > 0;
    input.attempts = countedAttempts (failures, freeDeclines);
    // An attempt that no replica ran leaves the route's number untouched, so that one more may be sent.
    input.mostAttempts = request.route->mostAttempts + (ranAfter (outcome) == Ran::no ? 1 : 0);
    input.deadline = request.end;
    input.jitter = randomFraction();

    auto decision = decideAfterFailure (outcome, input, SteadyClock::now());
    events.dropPartial();

    if (decision.again && decision.takesBudget)
        decision.again =
            std::exchange (hasRetryInHand, false) || state.retryBudgets.take ({}, request.service);

    if (decision.again && exchange.hasBegun())
        state.counts.resumed.add();

    return decision;
}

auto RoutedRun::fail (const AttemptOutcome& outcome, const RetryDecision& decision) -> Task<void>
{
    // An answer that has begun can't be taken back: the caller sees that its connection ends early.
    if (exchange.hasBegun())
    {
        logEnd ("broken_off", 0);
        co_return;
    }

    auto problem = problemAfter (outcome, decision);

    if (outcome.cause == FailureCause::stopped)
        problem = problemWhenStopped (runs() > 0);
    else if (runs() == 0)
    {
        const auto isRefused = outcome.cause == FailureCause::refused;
        const auto kind = isRefused ? ErrorKind::upstreamRefused : ErrorKind::noReplica;
        problem = withRetry (makeProblem (kind, Ran::no, std::move (problem.detail)), shortRetry);
    }
    else if (SteadyClock::now() >= request.end)
        problem = makeProblem (ErrorKind::deadlineExceeded, Ran::unknown, std::move (problem.detail));
    else if (ranAfter (outcome) == Ran::no)
        problem = makeProblem (ErrorKind::upstreamFailed, Ran::unknown, std::move (problem.detail));

    co_await refuse (std::move (problem));
}

auto RoutedRun::refuse (Problem problem) -> Task<void>
{
    const auto status = errorDescription (problem.kind).status;
    logEnd (toString (problem.kind), status);
    co_await exchange.respond (state.protocol.problem (problem, request.caller.id));
}

auto RoutedRun::noteBegun() -> void
{
    if (isCounted || ! request.account)
        return;

    isCounted = true;
    state.usage.note (request.account->name, state.trueTime.now (SteadyClock::now()));
}

auto RoutedRun::noteWhole (const UpstreamCall& call) -> void
{
    if (call.hasSucceeded())
        state.crashes.table().noteSuccess (request.fingerprint, SteadyClock::now());
}

auto RoutedRun::notePause() -> void
{
    const auto now = SteadyClock::now();

    if (eventsPassed)
        longestPause = std::max (longestPause, now - *eventsPassed);

    eventsPassed = now;
}

auto RoutedRun::onCallerGone() -> void
{
    isCallerGone = true;

    if (currentCall != nullptr)
        currentCall->cancel();
}

auto RoutedRun::logEnd (std::string_view outcome, unsigned status) -> void
{
    LogLine ("request_ended")
        .with ("request", request.caller.id)
        .with ("service", request.service)
        .with ("account", request.accountName())
        .with ("route", request.route->name)
        .with ("version", request.configuration->version)
        .with ("outcome", outcome)
        .with ("status", status)
        .with ("sends", sends)
        .with ("runs", runs())
        .with ("replica", lastReplica.name)
        .with ("prompt_tokens", request.caller.promptTokens)
        .with ("first_byte_milliseconds", firstByte ? inMilliseconds (*firstByte) : -1.0)
        .with ("longest_pause_milliseconds", inMilliseconds (longestPause))
        .with ("milliseconds", inMilliseconds (SteadyClock::now() - request.accepted))
        .info();
}

auto RoutedRun::attemptFields (const ReplicaTicket& ticket) const -> AttemptFields
{
    const auto left = std::chrono::floor<milliseconds> (request.end - SteadyClock::now());
    AttemptFields fields;
    fields.replica = ticket.info.name;
    fields.account = request.accountName();
    fields.timeLeft = std::max (milliseconds (1), left);
    fields.urgency = urgencyOf (request);
    fields.lastEvent = events.lastEvent();
    return fields;
}

auto RoutedRun::timeouts() const -> CallTimeouts
{
    CallTimeouts waits;
    waits.connect = connectTime;
    waits.firstByte = waits.idle = request.end - request.accepted;
    waits.end = request.end;
    return waits;
}

auto RoutedRun::mayRunAgain() const -> bool
{
    return request.route->isRepeatable() && runs() < request.route->mostAttempts &&
           SteadyClock::now() < request.end;
}

auto RoutedRun::failed (const UpstreamCall& call, FailureCause cause) const -> AttemptOutcome
{
    return { call.stage(), isCallerGone ? FailureCause::abandoned : cause };
}

} // namespace snowrudder
