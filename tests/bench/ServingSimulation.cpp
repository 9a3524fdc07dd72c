#include "ServingSimulation.h"

#include "snowrudder_chat/snowrudder_chat.h"
#include "snowrudder_fakes/engine/AnswerText.h"
#include "snowrudder_load/report/LoadReport.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto service = "models";
constexpr auto stepTime = 15ms;
constexpr auto reportInterval = 250ms;
constexpr auto reportLag = 300ms;
constexpr auto listLag = 800ms;
constexpr auto noticeTime = 5s;
constexpr auto maxQueued = std::uint32_t { 512 };
constexpr auto deadline = 60s;

/** The simulation is not limited in events. It starts with empty caches and counts from the first request on. */
constexpr auto unlimitedEvents = std::numeric_limits<std::size_t>::max();

} // namespace

auto quantileOf (std::vector<double>& values, double share) -> double
{
    if (values.empty())
        return 0.0;

    std::ranges::sort (values);
    const auto rank = static_cast<std::size_t> (share * static_cast<double> (values.size() - 1));
    return values[rank];
}

ServingSimulation::ServingSimulation (ServingPlan servingPlan)
    : plan (std::move (servingPlan)), time (plan.workload.seed() + 1, unlimitedEvents),
      source (plan.workload, 0, plan.rateFactor), firstTime (time.now()), engines (plan.engines),
      routers (plan.routers)
{
    result.classes.resize (static_cast<std::size_t> (plan.workload.classes_size()));

    for (auto slot = std::size_t { 0 }; slot < plan.engines; ++slot)
        addEngine (slot);

    for (auto index = std::size_t { 0 }; index < routers.size(); ++index)
        routers[index].policy.random.seed (index + 1);

    listEngines();
    setWindows();
    time.after (stepTime, [this] { stepEngines(); });
    time.after (reportInterval, [this] { reportLoads(); });
    time.after (source.nextInterval(), [this] { receiveRequest(); });

    if (plan.reclaimEvery > Duration::zero())
        time.after (plan.reclaimEvery, [this] { reclaim(); });
}

auto ServingSimulation::run() -> ServingResult
{
    time.run (plan.length + deadline);
    return summarise();
}

auto ServingSimulation::addEngine (std::size_t slot) -> void
{
    auto& engine = engines[slot];

    if (engine.model)
        retiredComputedTokens += engine.model->counts().computedPromptTokens;

    ++engine.generation;
    engine.info.name = "engine-" + std::to_string (slot);
    engine.info.vm = "vm-" + std::to_string (slot) + "-" + std::to_string (engine.generation);
    engine.info.failureDomain = "domain-" + std::to_string (slot % plan.domains);
    engine.info.service = service;
    engine.info.endpoint = engine.info.vm;
    engine.info.slots = plan.engine.slots;
    engine.model = std::make_unique<EngineModel> (plan.engine);
    engine.isAlive = true;
    engine.isLeaving = false;
}

auto ServingSimulation::listEngines() -> void
{
    std::vector<ListedReplica> listed;

    for (const auto& engine : engines)
        if (engine.isAlive)
            listed.push_back ({ engine.info, engine.isLeaving });

    for (auto& router : routers)
        router.replicas.update (listed, time.now());
}

auto ServingSimulation::isInOutage() const -> bool
{
    const auto since = time.now() - firstTime;
    return plan.outageLength > Duration::zero() && since >= plan.outageFrom &&
           since < plan.outageFrom + plan.outageLength;
}

auto ServingSimulation::stepEngines() -> void
{
    for (auto& engine : engines)
    {
        if (! engine.isAlive)
            continue;

        constexpr auto hour = std::chrono::duration<double> (1h);
        const auto domain = static_cast<std::size_t> (engine.info.failureDomain.back() - '0');
        const auto price = plan.prices.empty() ? 1.0 : plan.prices[domain % plan.prices.size()];
        engineHoursPrice += price * (std::chrono::duration<double> (stepTime) / hour);

        for (const auto& step : engine.model->step())
            if (const auto found = byEngineId.find (step.id); found != byEngineId.end())
                receiveToken (found->second, step);
    }

    if (time.now() - firstTime < plan.length + deadline)
        time.after (stepTime, [this] { stepEngines(); });
}

auto ServingSimulation::reportLoads() -> void
{
    if (plan.useReports)
    {
        for (const auto& engine : engines)
        {
            if (! engine.isAlive)
                continue;

            const LoadReport report { engine.model->running(), engine.model->waiting(),
                                      static_cast<double> (engine.model->pendingPromptTokens()),
                                      engine.isLeaving };

            time.after (reportLag,
                        [this, report, vm = engine.info.vm]
                        {
                            for (auto& router : routers)
                            {
                                auto number = ReplicaNumber { 0 };
                                router.replicas.forEach (
                                    [&] (const ReplicaState& replica)
                                    { number = replica.info.vm == vm ? replica.number : number; });
                                router.replicas.recordLoad (number, report, time.now());
                            }
                        });
        }
    }

    setWindows();
    time.after (reportInterval, [this] { reportLoads(); });
}

auto ServingSimulation::setWindows() -> void
{
    for (auto& router : routers)
    {
        const auto capacity = router.replicas.capacity (service, time.now());
        const auto places = routerWindow ({ capacity.slots, capacity.busy, routers.size(), plan.keptShare });

        for (const auto ticket : router.queue.setWindow (places, time.now()))
            start (ticket);

        for (const auto ticket : router.queue.removeExpired (time.now()))
        {
            ++result.classes[requests[ticket]->planned.classIndex].refused;
            requests[ticket]->isEnded = true;
        }
    }
}

auto ServingSimulation::receiveRequest() -> void
{
    if (time.now() - firstTime >= plan.length)
        return;

    time.after (source.nextInterval(), [this] { receiveRequest(); });
    auto planned = source.next();

    if (planned.kind->shape() != schema::CHAT)
        return;

    const auto index = requests.size();
    auto request = std::make_unique<Request>();
    const auto body = boost::json::parse (planned.body).get_object();
    const auto prompt = promptText (body);
    request->tokens = wordHashes (prompt);
    request->blocks = promptBlocks (prompt, planned.kind->key());
    request->promptTokens = estimateTokens (prompt.size());
    request->seed = answerSeed (planned.kind->model(), prompt);
    request->length = std::min (answerLength (request->seed), std::max (1U, planned.kind->max_tokens()));
    request->receivedAt = time.now();
    request->router =
        static_cast<std::size_t> (time.draw (0, static_cast<std::int64_t> (routers.size()) - 1));

    uniqueBlocks.insert (planned.promptBlocks.begin(), planned.promptBlocks.end());
    remainderTokens += planned.promptWords % engineBlockTokens;
    ++result.requests;
    ++result.classes[planned.classIndex].requests;

    auto& router = routers[request->router];
    router.budgets.earn (planned.kind->key(), service, 10.0);

    QueuedRequest queued;
    queued.ticket = index;
    queued.account = planned.kind->key();
    queued.weight = weightOf (queued.account);
    queued.cost = request->promptTokens + request->length;
    queued.deadline = time.now() + plan.maxQueueTime;
    request->planned = std::move (planned);
    requests.push_back (std::move (request));

    const auto answer = router.queue.request (queued, maxQueued, time.now());

    if (answer.action == QueueAction::start)
    {
        start (index);
    }
    else if (answer.action == QueueAction::refuse)
    {
        ++result.classes[requests[index]->planned.classIndex].refused;
        requests[index]->isEnded = true;
    }
}

auto ServingSimulation::weightOf (const std::string& key) const -> std::uint32_t
{
    const auto found = plan.weightByKey.find (key);
    return found == plan.weightByKey.end() ? 1 : found->second;
}

auto ServingSimulation::start (std::size_t index) -> void
{
    requests[index]->dispatchedAt = time.now();
    attempt (index);
}

auto ServingSimulation::attempt (std::size_t index) -> void
{
    auto& request = *requests[index];
    auto& router = routers[request.router];

    ChoiceInput input;
    input.blocks = request.blocks;
    input.promptTokens = request.promptTokens;
    input.tried = request.tried;
    const auto isOverShare = router.queue.isOverShare (request.planned.kind->key());
    input.isOverShare = isOverShare;
    input.routers = routers.size();
    const auto taken = router.replicas.takeWith (
        service, input, makeChooser (plan.policy, router.policy, plan.weights, time.now()), time.now());

    if (! taken)
    {
        request.tried.clear();
        fail (index, { CallStage::notSent, FailureCause::connectFailed });
        return;
    }

    ++result.attempts;
    request.ticket = taken->ticket;
    request.tried.push_back (taken->ticket.number);
    const auto found = std::ranges::find_if (engines, [&] (const Engine& engine)
                                             { return engine.info.vm == taken->ticket.info.vm; });

    if (found == engines.end() || ! found->isAlive || isInOutage())
    {
        fail (index, { CallStage::notSent, FailureCause::connectFailed });
        return;
    }

    EngineRequest call;
    call.id = nextEngineId++;
    call.seed = request.seed;
    call.firstPosition = request.generatedTokens;
    call.lastPosition = request.length;
    call.promptTokens = request.tokens;
    call.priority = isOverShare ? 15 : 5;
    call.cacheSalt = hashBytes (request.planned.kind->key());

    if (request.generatedTokens > 0)
    {
        for (auto position = std::uint32_t { 0 }; position < request.generatedTokens; ++position)
            call.promptTokens.push_back (wordHashes (answerWord (request.seed, position)).front());
    }

    if (! request.movedBlocks.empty())
        found->model->importBlocks (std::exchange (request.movedBlocks, {}));

    request.engine = static_cast<std::size_t> (found - engines.begin());
    request.engineId = call.id;
    byEngineId[call.id] = index;

    if (! found->model->submit (std::move (call)))
        fail (index, { CallStage::receiving, FailureCause::refused });
}

auto ServingSimulation::receiveToken (std::size_t index, const EngineStep& step) -> void
{
    auto& request = *requests[index];

    if (request.firstToken == TimePoint())
        request.firstToken = time.now();

    if (step.completionTokens == 1 && request.ticket)
        routers[request.router].replicas.recordAnswerStart (*request.ticket, request.blocks,
                                                            step.cachedTokens);

    request.lastToken = time.now();
    ++request.generatedTokens;

    if (! step.finished)
        return;

    releaseTicket (request, AttemptHealth::good);
    auto& entry = result.classes[request.planned.classIndex];
    const auto firstToken = request.firstToken - request.receivedAt;
    const auto gap = (request.lastToken - request.firstToken) / std::max (1U, request.generatedTokens - 1);
    const LatencyTarget target;

    ++entry.good;
    entry.firstTokenMilliseconds.push_back (inMilliseconds (firstToken));
    tokenIntervals.push_back (inMilliseconds (gap));
    if (firstToken <= target.firstToken && gap <= target.betweenTokens)
    {
        ++entry.withinTarget;
        result.tokensWithinTarget += request.length;
    }
    else if (request.dispatchedAt - request.receivedAt <= target.firstToken)
    {
        ++result.slowOnReplica;
    }

    end (index);
}

auto ServingSimulation::releaseTicket (Request& request, AttemptHealth health) -> void
{
    byEngineId.erase (request.engineId);
    request.engineId = 0;

    if (request.ticket)
        routers[request.router].replicas.release (*request.ticket, health, time.now());

    request.ticket.reset();
}

auto ServingSimulation::fail (std::size_t index, AttemptOutcome outcome) -> void
{
    auto& request = *requests[index];
    const auto health = outcome.cause == FailureCause::connectFailed ? AttemptHealth::unreachable
                        : outcome.cause == FailureCause::refused     ? AttemptHealth::refused
                                                                     : AttemptHealth::neutral;
    releaseTicket (request, health);

    RetryInput input;
    input.repeatable = true;
    input.answerBegun = request.generatedTokens > 0;
    input.attempts =
        outcome.cause == FailureCause::moved ? request.countedAttempts : ++request.countedAttempts;
    input.deadline = request.receivedAt + deadline;
    input.jitter = static_cast<double> (time.draw (0, 1000)) / 1000.0;
    auto decision = decideAfterFailure (outcome, input, time.now());

    if (decision.shouldRetry && decision.takesBudget)
        decision.shouldRetry = routers[request.router].budgets.take (request.planned.kind->key(), service);

    if (decision.shouldRetry)
    {
        time.after (decision.pause + 1ms, [this, index] { attempt (index); });
        return;
    }

    ++result.classes[request.planned.classIndex].failed;
    end (index);
}

auto ServingSimulation::end (std::size_t index) -> void
{
    auto& request = *requests[index];
    request.isEnded = true;
    request.tokens = {};
    request.blocks = {};

    for (const auto ticket : routers[request.router].queue.finish (
             request.planned.kind->key(), time.now() - request.dispatchedAt, time.now()))
        start (ticket);
}

auto ServingSimulation::reclaim() -> void
{
    const auto domain = "domain-" + std::to_string (nextDomain++ % plan.domains);

    for (auto slot = std::size_t { 0 }; slot < engines.size(); ++slot)
    {
        auto& engine = engines[slot];

        if (engine.info.failureDomain != domain || ! engine.isAlive)
            continue;

        engine.isLeaving = true;
        time.after (noticeTime,
                    [this, slot]
                    {
                        engines[slot].isAlive = false;
                        listEngines();
                    });
        time.after (plan.reclaimEvery / 2,
                    [this, slot]
                    {
                        addEngine (slot);
                        listEngines();
                    });
    }

    // The routers are informed late, and then move the requests that run in the failure domain.
    time.after (listLag,
                [this, domain]
                {
                    listEngines();

                    for (auto index = std::size_t { 0 }; index < requests.size(); ++index)
                    {
                        auto& request = *requests[index];

                        if (request.isEnded || ! request.ticket ||
                            engines[request.engine].info.failureDomain != domain)
                            continue;

                        auto& model = *engines[request.engine].model;

                        if (plan.moveCache)
                            request.movedBlocks = model.exportBlocks (request.engineId);

                        model.cancel (request.engineId);
                        ++result.moves;
                        fail (index, { CallStage::receiving, FailureCause::moved });
                    }
                });
    time.after (plan.reclaimEvery, [this] { reclaim(); });
}

auto ServingSimulation::summarise() -> ServingResult
{
    std::vector<double> firstTokens;
    result.computedPromptTokens = retiredComputedTokens;

    for (const auto& engine : engines)
        result.computedPromptTokens += engine.model->counts().computedPromptTokens;

    for (const auto& entry : result.classes)
    {
        result.withinTarget += entry.withinTarget;
        firstTokens.insert (firstTokens.end(), entry.firstTokenMilliseconds.begin(),
                            entry.firstTokenMilliseconds.end());
    }

    constexpr auto p95 = 0.95;
    constexpr auto thousand = 1000.0;
    const auto measuredShare =
        std::chrono::duration<double> (plan.length) / std::chrono::duration<double> (plan.length + deadline);
    result.minPromptTokens = uniqueBlocks.size() * engineBlockTokens + remainderTokens;
    result.firstTokenP95 = quantileOf (firstTokens, p95);
    result.betweenTokensP95 = quantileOf (tokenIntervals, p95);

    if (result.withinTarget > 0)
        result.costPerThousand =
            engineHoursPrice * measuredShare / static_cast<double> (result.withinTarget) * thousand;

    return result;
}

} // namespace snowrudder
