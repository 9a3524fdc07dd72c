#include "ModelRun.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

/** An engine faster than this has its tokens passed on a few at a time: each read and write is a system call. */
constexpr auto shortestReadGap = 4ms;

constexpr auto chatTarget = std::string_view ("/v1/chat/completions");
constexpr auto longestEvent = std::size_t { 1024 * 1024 };
constexpr auto cacheMoveTimeout = 500ms;
constexpr auto largestCacheList = std::size_t { 4 * 1024 * 1024 };

/** @returns an engine's own words in an error body, shortened. */
auto upstreamMessage (const std::string& body) -> std::string
{
    constexpr auto longest = std::size_t { 200 };
    boost::system::error_code error;
    const auto value = json::parse (body, error);

    if (error)
        return "the engine refused the request";

    const auto* text = value.find_pointer ("/error/message", error);

    if (text == nullptr)
        text = value.find_pointer ("/error", error);

    if (text == nullptr || ! text->is_string())
        return "the engine refused the request";

    return std::string (text->get_string()).substr (0, longest);
}

} // namespace

ModelRun::ModelRun (RouterState& routerState,
                    Worker& runWorker,
                    RecordPointer requestRecord,
                    ChatRequest chatRequest,
                    std::shared_ptr<const AccountView> accountView,
                    std::shared_ptr<const ServiceView> serviceView)
    : state (routerState), worker (runWorker), record (std::move (requestRecord)),
      request (std::make_shared<const ChatRequest> (std::move (chatRequest))),
      account (std::move (accountView)), service (std::move (serviceView)),
      idText (toString (record->identity().id)),
      signal (std::make_shared<Signal> (worker.loop.get_executor())), pacer (worker.loop)
{
    const auto prompt = promptText (request->body);
    blocks = promptBlocks (prompt, account->name);
    promptTokens = estimateTokens (prompt.size());
    // As another router reads it that takes the request over.
    const auto body = json::serialize (request->body);
    fingerprint = fingerprintOf (state.settings.node_secret(),
                                 { account->name, "POST", service->name, chatTarget, body });
    record->keepRequest (request);
}

auto ModelRun::goOnFrom (const Usage& first, std::uint32_t answerTokens) -> void
{
    firstUsage = first;
    earlierTokens = answerTokens;
}

auto ModelRun::start (std::shared_ptr<AdmittedRequest> admitted) -> void
{
    record->setRunSignal (signal);
    record->setInterrupt (
        [weak = weak_from_this(), executor = worker.loop.get_executor()] (FailureCause cause)
        {
            asio::post (executor,
                        [weak, cause]
                        {
                            if (const auto self = weak.lock())
                                self->onInterrupt (cause);
                        });
        });

    asio::co_spawn (
        worker.loop, [self = shared_from_this(), held = std::move (admitted)] { return self->run (held); },
        asio::detached);
}

auto ModelRun::run (std::shared_ptr<AdmittedRequest> /* held until the end */) -> Task<void>
{
    state.retryBudgets.earn (account->name, service->name, account->retryPercent);

    QueuedRequest wanted;
    wanted.account = account->name;
    wanted.weight = account->weight;
    wanted.cost = promptTokens + std::max (1.0, static_cast<double> (request->maxTokens));
    wanted.deadline = turnDeadline (*service, SteadyClock::now(), record->identity().deadline);

    constexpr auto usualQueue = std::uint32_t { 256 };
    const auto mostQueued =
        service->settings.has_queue_limit() ? service->settings.queue_limit() : usualQueue;
    const auto place =
        co_await state.queues.enter (service->name, wanted, mostQueued, worker.loop.get_executor());

    if (place.granted)
    {
        const PlaceGuard guard (state.queues, service->name, account->name);
        co_await runAttempts();
    }
    else
    {
        record->fail (problemOf (place));
    }

    record->currentReplica = 0;
    state.requests.noteEnded (record, SteadyClock::now());
}

auto ModelRun::runAttempts() -> Task<void>
{
    for (;;)
    {
        const auto outcome = co_await attempt();

        if (! outcome)
            co_return;

        const auto after = co_await replicaAfter (*outcome);
        const auto decision = afterFailure (*outcome);

        attemptFailed (idText, attempts, *outcome, decision)
            .with ("replica", lastReplica.name)
            .with ("replica_address", after)
            .with ("fingerprint", toString (fingerprint))
            .info();

        if (! decision.again)
        {
            fail (*outcome, decision);
            co_return;
        }

        co_await pauseFor (worker.loop, decision.pause);
    }
}

auto ModelRun::attempt() -> Task<Outcome>
{
    ++attempts;

    const auto judgement = co_await waitForVerdict();

    if (judgement.verdict == CrashVerdict::stopped)
    {
        state.crashes.noteStopped (fingerprint, idText, judgement, SteadyClock::now());
        co_return AttemptOutcome { CallStage::notSent, FailureCause::stopped };
    }

    state.counts.attempts.add();
    const CrashWatch::Running running (state.crashes, fingerprint);

    ChoiceInput input;
    input.blocks = blocks;
    input.promptTokens = promptTokens;
    input.tried = tried;
    isOverShare = state.queues.isOverShare (service->name, account->name);
    input.isOverShare = isOverShare;
    input.routers = state.routerCount();
    const SuspectRanking ranking (state.crashes.table(), fingerprint, judgement, promptTokens);
    ranking.applyTo (input);

    auto taken = state.replicas.take (service->name, input, choiceWeights (*service), SteadyClock::now());

    if (! taken)
    {
        // All have been tried: the next attempt may try them again.
        tried.clear();
        lastReplica = {};
        co_return AttemptOutcome { CallStage::notSent, FailureCause::noReplica };
    }

    logDecision (idText, account->name, *taken, attempts);
    auto ticket = taken->ticket;
    tried.push_back (ticket.number);
    lastNumber = ticket.number;
    lastReplica = ticket.info;
    record->currentReplica = ticket.number;
    attemptTokens = 0;
    usageSeen = false;

    if (! exportedCache.empty())
        co_await importCache (ticket.info);

    UpstreamCall call (worker.pool, parseEndpoint (ticket.info.endpoint), state.timeouts.call);
    currentCall = &call;
    auto outcome = co_await callReplica (call, ticket);
    currentCall = nullptr;

    if (outcome && outcome->cause == FailureCause::moved)
        co_await exportCache (ticket.info);

    state.replicas.release (ticket, outcome ? healthOf (*outcome) : AttemptHealth::good, SteadyClock::now());

    earlierTokens += attemptTokens;
    attemptTokens = 0;
    co_return outcome;
}

auto ModelRun::waitForVerdict() -> Task<CrashJudgement>
{
    return state.crashes.waitForVerdict (
        worker.loop, fingerprint, record->identity().service,
        [this] { return interruptCause.has_value() || SteadyClock::now() >= record->identity().deadline; });
}

auto ModelRun::replicaAfter (const AttemptOutcome& outcome) -> Task<std::string_view>
{
    if (! mayShowCrash (outcome))
        co_return "not_asked";

    WatchedAttempt ended { fingerprint, idText, account->name, lastNumber, lastReplica, SteadyClock::now() };
    co_return co_await state.crashes.examine (worker.probes, std::move (ended));
}

auto ModelRun::callReplica (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Outcome>
{
    if (interruptCause)
        co_return AttemptOutcome { call.stage(), causeOr (FailureCause::cut) };

    const auto mayReuse = true;

    if (co_await call.connect (mayReuse))
        co_return AttemptOutcome { call.stage(), causeOr (FailureCause::connectFailed) };

    const auto wanted = engineRequest();

    if (const auto error = co_await call.sendAndReadHeader (wanted))
        co_return AttemptOutcome { call.stage(), causeOr (failureOf (error)) };

    if (call.status() != static_cast<unsigned> (http::status::ok))
        co_return co_await takeRefusal (call);

    co_return co_await relayStream (call, ticket);
}

auto ModelRun::takeRefusal (UpstreamCall& call) -> Task<Outcome>
{
    constexpr auto longestBody = std::size_t { 64 * 1024 };
    std::string body;
    co_await call.readRest (body, longestBody);

    const auto status = call.status();
    const auto isBusy = status == 429 || status == 503;
    const auto isRequestsFault = status >= 400 && status < 500 && ! isBusy;

    if (isRequestsFault)
        upstreamProblem = makeProblem (ErrorKind::invalidRequest, upstreamMessage (body));

    co_return AttemptOutcome { call.stage(),
                               isBusy || isRequestsFault ? FailureCause::refused : FailureCause::failed };
}

auto ModelRun::relayStream (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Outcome>
{
    EventReader events;
    std::string piece;

    while (! call.isDone())
    {
        co_await waitForRoom();
        co_await waitForPace();

        if (const auto error = co_await call.readSome (piece))
            co_return AttemptOutcome { call.stage(), causeOr (failureOf (error)) };

        lastRead = SteadyClock::now();

        events.add (piece);

        while (const auto data = events.next())
        {
            auto event = parseChatEvent (*data);

            if (! event)
                co_return AttemptOutcome { call.stage(), FailureCause::invalid };

            if (std::holds_alternative<StreamEnd> (*event))
            {
                auto outcome = takeEvent (std::move (*event), ticket);

                // The engine's last bytes are read too, so that the connection can be used again.
                std::string rest;
                co_await call.readRest (rest, longestEvent);
                co_return outcome;
            }

            if (auto outcome = takeEvent (std::move (*event), ticket))
                co_return outcome;
        }

        if (events.pendingBytes() > longestEvent)
            co_return AttemptOutcome { call.stage(), FailureCause::invalid };
    }

    co_return AttemptOutcome { call.stage(), FailureCause::cut };
}

auto ModelRun::takeEvent (ChatEvent event, ReplicaTicket& ticket) -> Outcome
{
    if (const auto* chunk = std::get_if<ChatChunk> (&event))
    {
        takeChunk (*chunk, ticket);
        return {};
    }

    // An end without a reason is no whole answer.
    if (std::holds_alternative<StreamError> (event) || finishReason.empty())
        return AttemptOutcome { CallStage::receiving, FailureCause::failed };

    auto usage = firstUsage.value_or (Usage {});
    usage.completionTokens = earlierTokens + attemptTokens;
    record->finish (finishReason, usage);
    state.crashes.table().noteSuccess (fingerprint, SteadyClock::now());
    return {};
}

auto ModelRun::takeChunk (const ChatChunk& chunk, ReplicaTicket& ticket) -> void
{
    const auto now = SteadyClock::now();

    if (! chunk.content.empty() || ! chunk.other.empty())
    {
        if (lastToken == TimePoint())
            state.counts.firstToken.add (now - record->identity().accepted);
        else
            state.counts.betweenTokens.add (now - lastToken);

        lastToken = now;
        state.counts.relayedTokens.add();

        if (! usageSeen)
            ++attemptTokens;

        record->append (chunk);
    }

    if (chunk.usage)
        takeUsage (*chunk.usage, ticket);

    if (! chunk.finishReason.empty())
        finishReason = chunk.finishReason;
}

auto ModelRun::takeUsage (const Usage& usage, ReplicaTicket& ticket) -> void
{
    if (! usageSeen)
    {
        usageSeen = true;
        const auto computed = usage.promptTokens - std::min (usage.cachedTokens, usage.promptTokens);
        state.counts.computedPromptTokens.add (computed);
        state.counts.cachedPromptTokens.add (usage.cachedTokens);
        state.replicas.noteAnswering (ticket, blocks, usage.cachedTokens);
    }

    if (! firstUsage)
        firstUsage = usage;

    attemptTokens = usage.completionTokens;
    record->noteUsage (*firstUsage, earlierTokens + attemptTokens);
}

auto ModelRun::waitForRoom() -> Task<void>
{
    while (record->isAhead() && ! interruptCause)
        co_await signal->wait (SteadyClock::now() + 1s);
}

auto ModelRun::waitForPace() -> Task<void>
{
    const auto next = lastRead + shortestReadGap;

    if (SteadyClock::now() < next)
    {
        pacer.expires_at (next);
        co_await pacer.async_wait (asTuple);
    }
}

auto ModelRun::exportCache (const ReplicaInfo& replica) -> Task<void>
{
    CallTimeouts timeouts { cacheMoveTimeout, cacheMoveTimeout, cacheMoveTimeout };
    json::object body;
    body["request_id"] = attemptName();
    auto call = makeRequest (http::verb::post, "/kv/export", json::serialize (body));
    auto answer = co_await callOnce (worker.pool, parseEndpoint (replica.endpoint), std::move (call),
                                     timeouts, largestCacheList);
    exportedCache = answer.hasSucceeded() ? std::move (answer.body) : std::string();
}

auto ModelRun::importCache (const ReplicaInfo& replica) -> Task<void>
{
    CallTimeouts timeouts { cacheMoveTimeout, cacheMoveTimeout, cacheMoveTimeout };
    auto call = makeRequest (http::verb::post, "/kv/import", std::exchange (exportedCache, {}));
    co_await callOnce (worker.pool, parseEndpoint (replica.endpoint), std::move (call), timeouts);
}

auto ModelRun::afterFailure (const AttemptOutcome& outcome) -> RetryDecision
{
    if (outcome.cause != FailureCause::moved)
        noteFailed (failures, outcome);

    RetryInput input;
    input.repeatable = true;
    input.mayHaveRun = mayHaveRun;
    input.answerBegun = record->eventCount() > 0;
    input.attempts = countedAttempts (failures, 0);
    input.deadline = record->identity().deadline;
    input.jitter = randomFraction();
    input.budgetLeft = true;

    auto decision = decideAfterFailure (outcome, input, SteadyClock::now());
    mayHaveRun = mayHaveRun || ranAfter (outcome) != Ran::no;

    if (upstreamProblem)
        decision.again = false;

    if (decision.again && decision.takesBudget && ! state.retryBudgets.take (account->name, service->name))
        decision.again = false;

    if (decision.again && outcome.cause == FailureCause::moved)
    {
        interruptCause.reset();
        state.counts.moves.add();
    }
    else if (decision.again)
    {
        state.counts.retries.add();
    }

    return decision;
}

auto ModelRun::fail (const AttemptOutcome& outcome, const RetryDecision& decision) -> void
{
    if (upstreamProblem)
    {
        record->fail (*upstreamProblem);
        return;
    }

    if (outcome.cause == FailureCause::stopped)
        record->fail (problemWhenStopped (mayHaveRun));
    else
        record->fail (problemAfter (outcome, decision));
}

auto ModelRun::onInterrupt (FailureCause cause) -> void
{
    if (interruptCause)
        return;

    interruptCause = cause;
    signal->notify();

    if (currentCall != nullptr)
        currentCall->cancel();
}

auto ModelRun::engineRequest() const -> HttpRequest
{
    auto body = engineRequestBody (*request, enginePriority(), account->name, record->text(), earlierTokens);
    auto call = makeRequest (http::verb::post, chatTarget, std::move (body));
    call.set ("X-Request-Id", attemptName());
    return call;
}

auto ModelRun::enginePriority() const -> std::uint32_t
{
    // Behind every account that has less than its share; among those over it the accounts' own priorities hold.
    constexpr auto overShare = std::uint32_t { 10 };
    return account->priority + (isOverShare ? overShare : 0);
}

auto ModelRun::attemptName() const -> std::string
{
    return idText + "-" + std::to_string (attempts);
}

auto ModelRun::causeOr (FailureCause cause) const -> FailureCause
{
    return interruptCause.value_or (cause);
}

} // namespace snowrudder
