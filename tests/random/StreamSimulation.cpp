#include "StreamSimulation.h"

#include "snowrudder_fakes/engine/AnswerText.h"
#include "snowrudder_net/stream/EventReader.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto service = "models";
constexpr auto stepTime = 15ms;
constexpr auto runLength = std::chrono::seconds (60);
constexpr auto initialEngines = 5;
constexpr auto minEngines = 3;
/** The maximum delay until a change of the replicas reaches the table, from the lag of the list and the interval of its
    reads. A leaving replica must not receive new requests after a few seconds.
*/
constexpr auto maxListLag = 1500ms;
constexpr auto allowedTime = 2s;
constexpr auto stallTimeout = 3s;

auto smallEngineLimits() -> EngineLimits
{
    EngineLimits limits;
    limits.slots = 6;
    limits.cacheBlocks = 400;
    limits.queueLimit = 40;
    return limits;
}

} // namespace

StreamSimulation::StreamSimulation (std::uint64_t seed, InjectedBug injectedBug, std::size_t maxEvents)
    : time (seed, maxEvents), bug (injectedBug)
{
    engines.reserve (4096);

    for (auto count = 0; count < initialEngines; ++count)
        addEngine();

    listEngines (false);
    time.after (100ms, [this] { sendRequest(); });
    time.after (2s, [this] { injectFault(); });
    time.after (50ms, [this] { checkOpenRequests(); });
}

auto StreamSimulation::run() -> void
{
    time.run (runLength);

    for (const auto& request : requests)
    {
        if (request.record->state() != RecordState::finished)
            continue;

        ++completed;
        expect (readInParts (request) == expectedAnswer (request.seed, request.length),
                "each caller gets the whole answer to its own request");
        expect (request.record->usage().completionTokens == request.length,
                "the caller's count is the answer's");
    }
}

auto StreamSimulation::readInParts (const Request& request) const -> std::string
{
    // Reads the stream as a caller that disconnects and resumes repeatedly.
    std::string text;
    auto after = std::size_t { 0 };

    for (auto isEnded = false; ! isEnded;)
    {
        std::string events;
        const auto part = request.record->readStream (after, events);
        EventReader reader;
        reader.add (events);

        while (const auto data = reader.next())
            if (const auto event = parseChatEvent (*data);
                event && std::holds_alternative<ChatChunk> (*event))
                text += std::get<ChatChunk> (*event).content;

        expect (part.lastEvent > after, "a finished answer is read to its end");
        after = part.lastEvent;
        isEnded = part.ended;
    }

    return text;
}

auto StreamSimulation::addEngine() -> void
{
    const auto number = engines.size();
    Engine engine;
    engine.info.name = "e" + std::to_string (number);
    engine.info.vm = "vm" + std::to_string (number);
    engine.info.failureDomain = "d" + std::to_string (number % 3);
    engine.info.service = service;
    engine.info.endpoint = "127.0.0.1:" + std::to_string (number + 1);
    engine.info.slots = smallEngineLimits().slots;
    engine.model = std::make_unique<EngineModel> (smallEngineLimits());
    engines.push_back (std::move (engine));
    time.after (stepTime, [this, number] { stepEngine (number); });
}

auto StreamSimulation::listEngines (bool isLate) -> void
{
    std::vector<ListedReplica> listed;

    for (const auto& engine : engines)
    {
        if (! engine.alive)
            continue;

        // In an outdated list a leaving VM is live again.
        listed.push_back ({ engine.info, engine.isReclaimed && ! isLate });
    }

    if (bug == InjectedBug::acceptsOutdatedLists && isLate)
        replicas.update ({}, time.now());

    replicas.update (listed, time.now());
}

auto StreamSimulation::stepEngine (std::size_t index) -> void
{
    auto& engine = engines[index];

    if (! engine.alive)
        return;

    if (time.now() >= engine.stalledUntil)
    {
        for (const auto& step : engine.model->step())
        {
            const auto owner = requestIndices.find ({ index, step.id });

            if (owner == requestIndices.end())
                continue;

            // A chunk may arrive late, even after its attempt was abandoned. The chunks of an attempt share a connection
            // and arrive in order, so a late one delays those after it.
            auto& arrival = lastArrivals[owner->first];
            arrival = std::max (
                arrival, time.now() + (time.chance (0.02) ? time.drawTime (0ms, 4s) : Duration::zero()));
            time.after (arrival - time.now(),
                        [this, request = owner->second, step] { receiveChunk (request, step.id, step); });
        }
    }

    time.after (stepTime, [this, index] { stepEngine (index); });
}

auto StreamSimulation::sendRequest() -> void
{
    const auto index = requests.size();
    Request request;
    const auto prompt =
        "shared prompt " + std::to_string (time.draw (0, 4)) + " question " + std::to_string (index);
    request.seed = answerSeed ("m", prompt);
    request.length = std::min (answerLength (request.seed), static_cast<std::uint32_t> (time.draw (5, 200)));
    request.promptTokens = wordHashes (prompt);
    request.blocks = promptBlocks (prompt, "account");

    RequestIdentity identity;
    identity.id = { "router", {} };
    identity.id.uuid.bytes[15] = static_cast<std::uint8_t> (index);
    identity.id.uuid.bytes[14] = static_cast<std::uint8_t> (index >> 8);
    identity.account = "account";
    identity.model = "m";
    identity.stream = true;
    identity.accepted = time.now();
    identity.deadline = time.now() + 60s;
    request.record = std::make_shared<RequestRecord> (std::move (identity));
    requests.push_back (std::move (request));
    attempt (index);
    time.after (time.drawTime (10ms, 400ms), [this] { sendRequest(); });
}

auto StreamSimulation::attempt (std::size_t index) -> void
{
    auto& request = requests[index];
    ++request.attempt;

    ChoiceInput input;
    input.blocks = request.blocks;
    input.promptTokens = static_cast<double> (request.promptTokens.size());
    input.tried = request.tried;
    const auto taken = replicas.take (service, input, {}, time.now());

    if (! taken)
    {
        request.tried.clear();
        fail (index, { CallStage::notSent, FailureCause::connectFailed });
        return;
    }

    request.ticket = taken->ticket;
    request.tried.push_back (taken->ticket.number);
    const auto found = std::ranges::find (engines, taken->ticket.info.name,
                                          [] (const Engine& engine) { return engine.info.name; });
    auto& engine = *found;
    expect (! engine.noRequestsFrom || time.now() < *engine.noRequestsFrom,
            "a leaving upstream gets nothing new after a few seconds");

    if (! engine.alive)
    {
        fail (index, { CallStage::notSent, FailureCause::connectFailed });
        return;
    }

    EngineRequest call;
    call.id = nextEngineId++;
    call.seed = request.seed;
    call.firstPosition = bug == InjectedBug::restartsStreams ? 0 : request.tokens;
    call.lastPosition = request.length;
    call.promptTokens = request.promptTokens;

    request.engine = static_cast<std::size_t> (found - engines.begin());
    request.engineId = call.id;
    request.lastProgress = time.now();
    requestIndices[{ request.engine, call.id }] = index;

    if (! engine.model->submit (std::move (call)))
        fail (index, { CallStage::receiving, FailureCause::refused });
}

auto StreamSimulation::receiveChunk (std::size_t index, std::uint64_t engineId, const EngineStep& step)
    -> void
{
    auto& request = requests[index];
    const auto isLate = ! request.ticket || request.engineId != engineId;

    if (request.record->state() != RecordState::open || (isLate && bug != InjectedBug::acceptsLateChunks))
        return;

    request.lastProgress = time.now();

    ChatChunk chunk;
    chunk.content = step.text;
    request.record->append (chunk);
    ++request.tokens;

    if (! step.finished)
        return;

    Usage usage;
    usage.completionTokens = request.tokens;
    request.record->finish ("stop", usage);

    if (request.ticket)
        replicas.release (*request.ticket, AttemptHealth::good, time.now());

    request.ticket.reset();
}

auto StreamSimulation::fail (std::size_t index, AttemptOutcome outcome) -> void
{
    auto& request = requests[index];

    if (request.ticket)
    {
        const auto health = outcome.cause == FailureCause::connectFailed ? AttemptHealth::unreachable
                            : outcome.cause == FailureCause::refused     ? AttemptHealth::refused
                            : outcome.cause == FailureCause::moved       ? AttemptHealth::neutral
                                                                         : AttemptHealth::failed;
        replicas.release (*request.ticket, health, time.now());
        engines[request.engine].model->cancel (request.engineId);
    }

    request.ticket.reset();

    RetryInput input;
    input.repeatable = true;
    input.answerBegun = request.tokens > 0;
    input.attempts =
        outcome.cause == FailureCause::moved ? request.countedAttempts : ++request.countedAttempts;
    input.deadline = request.record->identity().deadline;
    input.jitter = static_cast<double> (time.draw (0, 100)) / 100.0;
    const auto decision = decideAfterFailure (outcome, input, time.now());

    if (decision.shouldRetry)
        time.after (decision.pause + 1ms, [this, index] { attempt (index); });
    else
        request.record->fail (makeProblem (decision.kind, decision.ran, ""));
}

auto StreamSimulation::checkOpenRequests() -> void
{
    for (auto index = std::size_t { 0 }; index < requests.size(); ++index)
    {
        auto& request = requests[index];

        if (! request.ticket || request.record->state() != RecordState::open)
            continue;

        if (! engines[request.engine].alive)
            fail (index, { CallStage::receiving, FailureCause::cut });
        else if (replicas.isLeaving (request.ticket->number))
            fail (index, { CallStage::receiving, FailureCause::moved });
        else if (time.now() - request.lastProgress >= stallTimeout)
            fail (index, { CallStage::receiving, FailureCause::timedOut });
    }

    if (time.chance (0.1))
        listEngines (time.chance (0.3));

    time.after (50ms, [this] { checkOpenRequests(); });
}

auto StreamSimulation::injectFault() -> void
{
    auto alive = std::vector<std::size_t> {};

    for (auto index = std::size_t { 0 }; index < engines.size(); ++index)
        if (engines[index].alive && ! engines[index].isReclaimed)
            alive.push_back (index);

    const auto picked =
        alive[static_cast<std::size_t> (time.draw (0, static_cast<std::int64_t> (alive.size()) - 1))];
    auto& engine = engines[picked];
    const auto mayRemove = alive.size() > minEngines;

    switch (time.draw (0, 4))
    {
        case 0:
            engine.stalledUntil = time.now() + time.drawTime (100ms, 6s);
            logEvent ("stall " + engine.info.name);
            break;

        case 1:
            if (mayRemove)
            {
                engine.alive = false;
                logEvent ("kill " + engine.info.name);
            }
            break;

        case 2:
            if (mayRemove)
            {
                // The table is informed late; no new requests may be sent to the engine from that time on.
                engine.isReclaimed = true;
                logEvent ("reclaim " + engine.info.name);
                time.after (time.drawTime (0ms, maxListLag),
                            [this, picked]
                            {
                                listEngines (false);
                                engines[picked].noRequestsFrom = time.now();
                            });
                time.after (time.drawTime (maxListLag + allowedTime, 8s),
                            [this, picked] { engines[picked].alive = false; });
            }
            break;

        default:
            if (alive.size() < initialEngines + 2)
                addEngine();
            break;
    }

    time.after (time.chance (0.3) ? time.drawTime (0ms, 100ms) : time.drawTime (200ms, 4s),
                [this] { injectFault(); });
}

auto StreamSimulation::logEvent (std::string line) -> void
{
    lines.push_back (
        std::to_string (
            std::chrono::duration_cast<std::chrono::milliseconds> (time.now().time_since_epoch()).count()) +
        " ms: " + std::move (line));
}

} // namespace snowrudder
