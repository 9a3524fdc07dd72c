#include "ModelRun.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

/** Minimum time between two reads from an engine. Tokens that arrive faster are relayed several at a time, because each
    read and write is a system call.
*/
constexpr auto minReadInterval = 4ms;

constexpr auto chatTarget = std::string_view ("/v1/chat/completions");
constexpr auto maxEventBytes = std::size_t { 1024 * 1024 };
constexpr auto cacheMoveTimeout = 500ms;
constexpr auto maxCacheListBytes = std::size_t { 4 * 1024 * 1024 };

/** @returns the error message in an engine's response body, shortened; a default text if the body has none. */
auto upstreamMessage (const std::string& body) -> std::string
{
    constexpr auto maxLength = std::size_t { 200 };
    boost::system::error_code error;
    const auto value = json::parse (body, error);

    if (error)
        return "the engine refused the request";

    const auto* text = value.find_pointer ("/error/message", error);

    if (text == nullptr)
        text = value.find_pointer ("/error", error);

    if (text == nullptr || ! text->is_string())
        return "the engine refused the request";

    return std::string (text->get_string()).substr (0, maxLength);
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
      signal (std::make_shared<Signal> (worker.loop.get_executor())), readTimer (worker.loop)
{
    const auto prompt = promptText (request->body);
    blocks = promptBlocks (prompt, account->name);
    promptTokens = estimateTokens (prompt.size());
    // Serialized in the same way as for a handover, so that a router that takes the request over computes the same
    // fingerprint.
    const auto body = json::serialize (request->body);
    fingerprint = fingerprintOf (state.settings.node_secret(),
                                 { account->name, "POST", service->name, chatTarget, body });
    record->keepRequest (request);
}

auto ModelRun::continueFrom (const Usage& first, std::uint32_t answerTokens) -> void
{
    firstUsage = first;
    previousTokens = answerTokens;
}

auto ModelRun::start (std::shared_ptr<AccountAdmission> admitted) -> void
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

auto ModelRun::run (std::shared_ptr<AccountAdmission> /* held until the end */) -> Task<void>
{
    state.retryBudgets.earn (account->name, service->name, account->retryPercent);

    QueuedRequest queued;
    queued.account = account->name;
    queued.weight = account->weight;
    queued.cost = promptTokens + std::max (1.0, static_cast<double> (request->maxTokens));
    queued.deadline = queueDeadline (*service, BootClock::now(), record->identity().deadline);

    constexpr auto defaultQueueLimit = std::uint32_t { 256 };
    const auto queueLimit =
        service->settings.has_queue_limit() ? service->settings.queue_limit() : defaultQueueLimit;
    const auto permit =
        co_await state.queues.acquire (service->name, queued, queueLimit, worker.loop.get_executor());

    if (permit.granted)
    {
        const PermitGuard guard (state.queues, service->name, account->name);
        co_await runAttempts();
    }
    else
    {
        record->fail (overloadProblem (permit));
    }

    record->currentReplica = 0;
    state.requests.markEnded (record, BootClock::now());
}

auto ModelRun::runAttempts() -> Task<void>
{
    for (;;)
    {
        const auto outcome = co_await attempt();

        if (! outcome)
            co_return;

        const auto addressState = co_await examineReplica (*outcome);
        const auto decision = decideRetry (*outcome);

        attemptFailedLine (idText, attempts, *outcome, decision)
            .with ("replica", lastReplica.name)
            .with ("replica_address", addressState)
            .with ("fingerprint", toString (fingerprint))
            .info();

        if (! decision.shouldRetry)
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

    const auto assessment = co_await waitForVerdict();

    if (assessment.verdict == CrashVerdict::stopped)
    {
        state.crashes.reportStopped (fingerprint, idText, assessment, BootClock::now());
        co_return AttemptOutcome { CallStage::notSent, FailureCause::stopped };
    }

    state.counts.attempts.add();
    const CrashRecords::RunningAttempt running (state.crashes.evidence(), fingerprint, BootClock::now());

    ChoiceInput input;
    input.blocks = blocks;
    input.promptTokens = promptTokens;
    input.tried = tried;
    isOverShare = state.queues.isOverShare (service->name, account->name);
    input.isOverShare = isOverShare;
    input.routers = state.routerCount();
    const SuspectRanking ranking (state.crashes.evidence(), assessment, promptTokens);
    ranking.applyTo (input);

    auto taken = state.replicas.take (service->name, input, choiceWeights (*service), BootClock::now());

    if (! taken)
    {
        // Every replica has been tried: the next attempt may use them again.
        tried.clear();
        lastReplica = {};
        co_return AttemptOutcome { CallStage::notSent, FailureCause::noReplica };
    }

    logRoutingDecision (idText, account->name, *taken, attempts);
    auto ticket = taken->ticket;
    tried.push_back (ticket.number);
    lastReplicaNumber = ticket.number;
    lastReplica = ticket.info;
    record->currentReplica = ticket.number;
    attemptTokens = 0;
    isUsageReceived = false;

    if (! exportedCache.empty())
        co_await importCache (ticket.info);

    UpstreamCall call (worker.pool, parseEndpoint (ticket.info.endpoint), state.timeouts.call);
    currentCall = &call;
    auto outcome = co_await callReplica (call, ticket);
    currentCall = nullptr;

    if (outcome && outcome->cause == FailureCause::moved)
        co_await exportCache (ticket.info);

    state.replicas.release (ticket, outcome ? attemptHealthOf (*outcome) : AttemptHealth::good,
                            BootClock::now());

    previousTokens += attemptTokens;
    attemptTokens = 0;
    co_return outcome;
}

auto ModelRun::waitForVerdict() -> Task<CrashAssessment>
{
    return state.crashes.waitForVerdict (
        worker.loop, fingerprint, record->identity().service,
        [this] { return interruptCause.has_value() || BootClock::now() >= record->identity().deadline; });
}

auto ModelRun::examineReplica (const AttemptOutcome& outcome) -> Task<std::string_view>
{
    if (! mayIndicateCrash (outcome))
        co_return "not_asked";

    InterruptedAttempt ended { fingerprint,       idText,      account->name,
                               lastReplicaNumber, lastReplica, BootClock::now() };
    co_return co_await state.crashes.examine (worker.probes, std::move (ended));
}

auto ModelRun::callReplica (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Outcome>
{
    if (interruptCause)
        co_return AttemptOutcome { call.stage(), interruptCauseOr (FailureCause::cut) };

    const auto mayReuse = true;

    if (co_await call.connect (mayReuse))
        co_return AttemptOutcome { call.stage(), interruptCauseOr (FailureCause::connectFailed) };

    const auto httpRequest = engineRequest();

    if (const auto error = co_await call.sendAndReadHeader (httpRequest))
        co_return AttemptOutcome { call.stage(), interruptCauseOr (failureCauseOf (error)) };

    if (call.status() != static_cast<unsigned> (http::status::ok))
        co_return co_await readRefusal (call);

    co_return co_await relayStream (call, ticket);
}

auto ModelRun::readRefusal (UpstreamCall& call) -> Task<Outcome>
{
    constexpr auto maxBodyBytes = std::size_t { 64 * 1024 };
    std::string body;
    co_await call.readRest (body, maxBodyBytes);

    const auto status = call.status();
    const auto isBusy = status == 429 || status == 503;
    const auto isClientError = status >= 400 && status < 500 && ! isBusy;

    if (isClientError)
        upstreamProblem = makeProblem (ErrorKind::invalidRequest, upstreamMessage (body));

    co_return AttemptOutcome { call.stage(),
                               isBusy || isClientError ? FailureCause::refused : FailureCause::failed };
}

auto ModelRun::relayStream (UpstreamCall& call, ReplicaTicket& ticket) -> Task<Outcome>
{
    EventReader events;
    std::string piece;

    while (! call.isDone())
    {
        co_await applyBackpressure();
        co_await waitForReadInterval();

        if (const auto error = co_await call.readSome (piece))
            co_return AttemptOutcome { call.stage(), interruptCauseOr (failureCauseOf (error)) };

        lastRead = BootClock::now();

        events.add (piece);

        while (const auto data = events.next())
        {
            auto event = parseChatEvent (*data);

            if (! event)
                co_return AttemptOutcome { call.stage(), FailureCause::invalid };

            if (std::holds_alternative<StreamEnd> (*event))
            {
                auto outcome = processEvent (std::move (*event), ticket);

                // Reads the response to its end, so that the connection can be reused.
                std::string rest;
                co_await call.readRest (rest, maxEventBytes);
                co_return outcome;
            }

            if (auto outcome = processEvent (std::move (*event), ticket))
                co_return outcome;
        }

        if (events.pendingBytes() > maxEventBytes)
            co_return AttemptOutcome { call.stage(), FailureCause::invalid };
    }

    co_return AttemptOutcome { call.stage(), FailureCause::cut };
}

auto ModelRun::processEvent (ChatEvent event, ReplicaTicket& ticket) -> Outcome
{
    if (const auto* chunk = std::get_if<ChatChunk> (&event))
    {
        processChunk (*chunk, ticket);
        return {};
    }

    // A stream that ends without a finish reason is incomplete.
    if (std::holds_alternative<StreamError> (event) || finishReason.empty())
        return AttemptOutcome { CallStage::receiving, FailureCause::failed };

    auto usage = firstUsage.value_or (Usage {});
    usage.completionTokens = previousTokens + attemptTokens;
    record->finish (finishReason, usage);
    state.crashes.recordSuccess (fingerprint, BootClock::now(), BootClock::now());
    return {};
}

auto ModelRun::processChunk (const ChatChunk& chunk, ReplicaTicket& ticket) -> void
{
    const auto now = BootClock::now();

    if (! chunk.content.empty() || ! chunk.other.empty())
    {
        if (lastToken == TimePoint())
            state.counts.firstToken.add (now - record->identity().accepted);
        else
            state.counts.betweenTokens.add (now - lastToken);

        lastToken = now;
        state.counts.relayedTokens.add();

        if (! isUsageReceived)
            ++attemptTokens;

        record->append (chunk);
    }

    if (chunk.usage)
        processUsage (*chunk.usage, ticket);

    if (! chunk.finishReason.empty())
        finishReason = chunk.finishReason;
}

auto ModelRun::processUsage (const Usage& usage, ReplicaTicket& ticket) -> void
{
    if (! isUsageReceived)
    {
        isUsageReceived = true;
        const auto computed = usage.promptTokens - std::min (usage.cachedTokens, usage.promptTokens);
        state.counts.computedPromptTokens.add (computed);
        state.counts.cachedPromptTokens.add (usage.cachedTokens);
        state.replicas.recordAnswerStart (ticket, blocks, usage.cachedTokens);
    }

    if (! firstUsage)
        firstUsage = usage;

    attemptTokens = usage.completionTokens;
    record->updateUsage (*firstUsage, previousTokens + attemptTokens);
}

auto ModelRun::applyBackpressure() -> Task<void>
{
    while (record->isAhead() && ! interruptCause)
        co_await signal->wait (BootClock::now() + 1s);
}

auto ModelRun::waitForReadInterval() -> Task<void>
{
    const auto next = lastRead + minReadInterval;

    if (BootClock::now() < next)
    {
        readTimer.expires_at (next);
        co_await readTimer.async_wait (asTuple);
    }
}

auto ModelRun::exportCache (const ReplicaInfo& replica) -> Task<void>
{
    CallTimeouts timeouts { cacheMoveTimeout, cacheMoveTimeout, cacheMoveTimeout };
    json::object body;
    body["request_id"] = attemptId();
    auto call = makeRequest (http::verb::post, "/kv/export", json::serialize (body));
    auto answer = co_await callOnce (worker.pool, parseEndpoint (replica.endpoint), std::move (call),
                                     timeouts, maxCacheListBytes);
    exportedCache = answer.hasSucceeded() ? std::move (answer.body) : std::string();
}

auto ModelRun::importCache (const ReplicaInfo& replica) -> Task<void>
{
    CallTimeouts timeouts { cacheMoveTimeout, cacheMoveTimeout, cacheMoveTimeout };
    auto call = makeRequest (http::verb::post, "/kv/import", std::exchange (exportedCache, {}));
    co_await callOnce (worker.pool, parseEndpoint (replica.endpoint), std::move (call), timeouts);
}

auto ModelRun::decideRetry (const AttemptOutcome& outcome) -> RetryDecision
{
    if (outcome.cause != FailureCause::moved)
        recordFailure (failures, outcome);

    RetryInput input;
    input.repeatable = true;
    input.mayHaveRun = mayHaveRun;
    input.answerBegun = record->eventCount() > 0;
    input.attempts = countedAttempts (failures, 0);
    input.deadline = record->identity().deadline;
    input.jitter = randomFraction();
    input.budgetLeft = true;

    auto decision = decideAfterFailure (outcome, input, BootClock::now());
    mayHaveRun = mayHaveRun || ranAfter (outcome) != Ran::no;

    if (upstreamProblem)
        decision.shouldRetry = false;

    if (decision.shouldRetry && decision.takesBudget &&
        ! state.retryBudgets.take (account->name, service->name))
        decision.shouldRetry = false;

    if (decision.shouldRetry && outcome.cause == FailureCause::moved)
    {
        interruptCause.reset();
        state.counts.moves.add();
    }
    else if (decision.shouldRetry)
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
    auto body = engineRequestBody (*request, enginePriority(), account->name, record->text(), previousTokens);
    auto call = makeRequest (http::verb::post, chatTarget, std::move (body));
    call.set ("X-Request-Id", attemptId());
    return call;
}

auto ModelRun::enginePriority() const -> std::uint32_t
{
    // Requests of accounts above their fair share come after those of all other accounts. Within each of the two groups the
    // accounts' own priorities apply.
    constexpr auto overShare = std::uint32_t { 10 };
    return account->priority + (isOverShare ? overShare : 0);
}

auto ModelRun::attemptId() const -> std::string
{
    return idText + "-" + std::to_string (attempts);
}

auto ModelRun::interruptCauseOr (FailureCause cause) const -> FailureCause
{
    return interruptCause.value_or (cause);
}

} // namespace snowrudder
