#include "FakeEngine.h"

#include "AnswerText.h"

#include "snowrudder_chat/snowrudder_chat.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto maxKeptEvents = std::size_t { 65536 };
constexpr auto idleWait = 100ms;

auto engineLimitsOf (const schema::FakeEngineSettings& settings) -> EngineLimits
{
    EngineLimits limits;

    if (settings.has_slots())
        limits.slots = settings.slots();

    if (settings.has_cache_blocks())
        limits.cacheBlocks = settings.cache_blocks();

    if (settings.has_block_tokens())
        limits.blockTokens = settings.block_tokens();

    if (settings.has_prefill_tokens_per_step())
        limits.prefillTokensPerStep = settings.prefill_tokens_per_step();

    if (settings.has_queue_limit())
        limits.queueLimit = settings.queue_limit();

    return limits;
}

auto stepTime (const schema::FakeEngineSettings& settings) -> Duration
{
    constexpr auto defaultStep = 15'000U;
    return std::chrono::microseconds (settings.has_step_microseconds() ? settings.step_microseconds()
                                                                       : defaultStep);
}

/** A prompt, and separately the part of the answer that the engine continues. */
struct SplitPrompt
{
    std::string prompt;
    std::string continuation;
};

auto splitPrompt (json::object body) -> SplitPrompt
{
    SplitPrompt split;
    const auto continues = flagIn (body, "continue_final_message", false);
    auto& messages = body["messages"].get_array();

    if (continues && messages.size() > 1)
    {
        split.continuation = textIn (messages.back().get_object(), "content");
        messages.pop_back();
    }

    split.prompt = promptText (body);
    return split;
}

auto makeEngineRequest (const ChatRequest& request, std::uint64_t id) -> EngineRequest
{
    const auto split = splitPrompt (request.body);

    EngineRequest engineRequest;
    engineRequest.id = id;
    engineRequest.seed = answerSeed (request.model, split.prompt);
    engineRequest.firstPosition = countWords (split.continuation);
    engineRequest.lastPosition = answerLength (engineRequest.seed);
    engineRequest.priority = static_cast<std::uint32_t> (numberIn (request.body, "priority", 5));
    engineRequest.cacheSalt = hashBytes (textIn (request.body, "cache_salt"));
    engineRequest.promptTokens = wordHashes (split.prompt + " " + split.continuation);

    if (request.maxTokens > 0)
        engineRequest.lastPosition =
            std::min (engineRequest.lastPosition, engineRequest.firstPosition + request.maxTokens);

    engineRequest.lastPosition = std::max (engineRequest.lastPosition, engineRequest.firstPosition + 1);
    return engineRequest;
}

} // namespace

FakeEngine::FakeEngine (asio::io_context& eventLoop, const schema::FakeEngineSettings& engineSettings)
    : loop (eventLoop), settings (engineSettings), limits (engineLimitsOf (engineSettings)), model (limits),
      workSignal (std::make_shared<Signal> (eventLoop.get_executor()))
{
}

auto FakeEngine::start() -> void
{
    asio::co_spawn (loop, stepLoop(), asio::detached);
}

auto FakeEngine::handle (Exchange& exchange) -> Task<void>
{
    const auto path = exchange.path();

    if (path == "/v1/chat/completions")
        return handleChat (exchange);

    if (path == "/abort")
        return handleAbort (exchange);

    if (path == "/kv/export")
        return handleExport (exchange);

    if (path == "/kv/import")
        return handleImport (exchange);

    if (path == "/load")
        return handleLoad (exchange);

    if (path == "/cache_events")
        return handleCacheEvents (exchange);

    if (path == "/orders")
        return handleOrder (exchange);

    if (path == "/stats")
        return handleStats (exchange);

    if (path == "/faults")
        return handleFaults (exchange);

    return respondJson (exchange, http::status::not_found, makeObject ("error", "no such path"));
}

auto FakeEngine::stepLoop() -> Task<void>
{
    BootTimer timer (loop);
    const auto interval = stepTime (settings);
    auto next = BootClock::now();

    for (;;)
    {
        recordReports();

        if (model.isIdle())
        {
            co_await workSignal->wait (BootClock::now() + idleWait);
            next = BootClock::now();
            continue;
        }

        next = std::max (next + interval, BootClock::now() - interval);
        timer.expires_at (next);
        co_await timer.async_wait (asTuple);

        if (! faults.stall)
            deliver (model.step());
    }
}

auto FakeEngine::deliver (std::vector<EngineStep> steps) -> void
{
    for (auto& step : steps)
    {
        const auto found = streams.find (step.id);

        if (found == streams.end())
            continue;

        found->second->steps.push_back (std::move (step));
        found->second->signal->notify();
    }
}

auto FakeEngine::recordReports() -> void
{
    const auto now = BootClock::now();
    reports.push_back ({ now,
                         { { "running", model.running() },
                           { "waiting", model.waiting() },
                           { "pending_prompt_tokens", model.pendingPromptTokens() },
                           { "slots", limits.slots },
                           { "cache_blocks", model.prefixCache().size() },
                           { "role", role },
                           { "version", loadedVersion },
                           { "leaving", faults.leaving } } });

    const auto lag = std::chrono::milliseconds (settings.load_lag_milliseconds());

    while (reports.size() > 1 && now - reports[1].time >= lag)
        reports.pop_front();

    for (const auto& event : model.prefixCache().takeEvents())
    {
        gapHash = combineHashes (gapHash, event.block);
        const auto isLost = static_cast<double> (gapHash % 10'000) < settings.event_gap_share() * 10'000;
        const auto number = nextEvent++;

        if (! isLost)
            cacheEvents.push_back ({ number, event });

        if (cacheEvents.size() > maxKeptEvents)
            cacheEvents.pop_front();
    }
}

auto FakeEngine::handleChat (Exchange& exchange) -> Task<void>
{
    if (faults.refuse || faults.leaving)
    {
        co_await respondJson (exchange, http::status::service_unavailable,
                              makeObject ("error", faults.leaving ? "leaving" : "refused"));
        co_return;
    }

    auto parsed = parseChatRequest (exchange.request().body());

    if (const auto* problem = std::get_if<Problem> (&parsed))
    {
        co_await respondJson (exchange, http::status::bad_request, makeObject ("error", problem->detail));
        co_return;
    }

    const auto request = std::get<ChatRequest> (std::move (parsed));

    if (request.model != settings.model())
    {
        co_await respondJson (exchange, http::status::not_found, makeObject ("error", "model is not loaded"));
        co_return;
    }

    const auto id = nextId++;
    const auto stream = std::make_shared<Stream>();
    stream->signal = std::make_shared<Signal> (loop.get_executor());
    stream->name = exchange.header ("X-Request-Id");

    if (! model.submit (makeEngineRequest (request, id)))
    {
        co_await respondJson (exchange, http::status::service_unavailable,
                              makeObject ("error", "queue is full"));
        co_return;
    }

    streams.emplace (id, stream);
    workSignal->notify();
    exchange.watchCaller ([signal = stream->signal] { signal->notify(); });

    if (request.stream)
    {
        auto continuousUsage = false;

        if (const auto* options = request.body.if_contains ("stream_options"))
            continuousUsage = flagIn (options->get_object(), "continuous_usage_stats", false);

        co_await streamAnswer (exchange, stream, id, request.includeUsage, continuousUsage);
    }
    else
    {
        co_await wholeAnswer (exchange, stream);
    }

    model.cancel (id);
    streams.erase (id);
}

auto FakeEngine::chunkText (const EngineStep& step, bool withUsage) const -> std::string
{
    json::object chunk { { "id", "chatcmpl-" + settings.name() + "-" + std::to_string (step.id) },
                         { "object", "chat.completion.chunk" },
                         { "created", 1 },
                         { "model", settings.model() },
                         { "choices", json::array { json::object { { "index", 0 },
                                                                   { "delta", { { "content", step.text } } },
                                                                   { "logprobs", nullptr },
                                                                   { "finish_reason", nullptr } } } } };

    if (step.finished)
        chunk["choices"].at (0).get_object()["finish_reason"] = "stop";

    if (withUsage)
        chunk["usage"] = { { "prompt_tokens", step.promptTokens },
                           { "completion_tokens", step.completionTokens },
                           { "total_tokens", step.promptTokens + step.completionTokens },
                           { "prompt_tokens_details", { { "cached_tokens", step.cachedTokens } } } };

    return "data: " + json::serialize (chunk) + "\n\n";
}

auto FakeEngine::streamAnswer (Exchange& exchange,
                               const std::shared_ptr<Stream>& stream,
                               std::uint64_t id,
                               bool includeUsage,
                               bool continuousUsage) -> Task<void>
{
    http::response<http::empty_body> header (http::status::ok, 11);
    header.set (http::field::content_type, "text/event-stream");

    if (co_await exchange.beginStream (std::move (header)))
        co_return;

    auto isFinished = false;

    while (! isFinished)
    {
        if (stream->steps.empty())
            co_await stream->signal->wait (BootClock::now() + 1h);

        if (exchange.hasCallerDisconnected() || faults.cut || ! streams.contains (id))
            co_return;

        std::string text;

        while (! stream->steps.empty())
        {
            const auto step = std::move (stream->steps.front());
            stream->steps.pop_front();
            text += faults.sendsMalformed
                        ? "data: {\"broken\n\n"
                        : chunkText (step, continuousUsage || (includeUsage && step.finished));
            isFinished = step.finished;
        }

        if (isFinished)
            text += "data: [DONE]\n\n";

        if (co_await exchange.writeBodyPart (text))
            co_return;
    }

    exchange.stopWatching();
    co_await exchange.endStream();
}

auto FakeEngine::wholeAnswer (Exchange& exchange, const std::shared_ptr<Stream>& stream) -> Task<void>
{
    std::string text;
    Usage usage;

    for (auto isFinished = false; ! isFinished;)
    {
        if (stream->steps.empty())
            co_await stream->signal->wait (BootClock::now() + 1h);

        if (exchange.hasCallerDisconnected() || faults.cut)
            co_return;

        while (! stream->steps.empty())
        {
            const auto step = std::move (stream->steps.front());
            stream->steps.pop_front();
            text += step.text;
            usage = { step.promptTokens, step.cachedTokens, step.completionTokens };
            isFinished = step.finished;
        }
    }

    exchange.stopWatching();
    CompletionMetadata head;
    head.id = settings.name();
    head.model = settings.model();
    const ChatWriter writer (head);
    co_await exchange.respond (http::status::ok, "application/json",
                               writer.wholeAnswer (text, "stop", usage, json::array()));
}

auto FakeEngine::findByName (const std::string& name) const -> std::uint64_t
{
    for (const auto& [id, stream] : streams)
        if (! name.empty() && stream->name == name)
            return id;

    return 0;
}

auto FakeEngine::handleAbort (Exchange& exchange) -> Task<void>
{
    const auto id = findByName (textIn (jsonBody (exchange), "request_id"));

    if (const auto found = streams.find (id); found != streams.end())
    {
        model.cancel (id);
        const auto stream = found->second;
        streams.erase (found);
        stream->signal->notify();
    }

    co_await respondJson (exchange, http::status::ok, makeObject ("aborted", id != 0));
}

auto FakeEngine::handleExport (Exchange& exchange) -> Task<void>
{
    const auto id = findByName (textIn (jsonBody (exchange), "request_id"));
    json::array blocks;

    for (const auto block : model.exportBlocks (id))
        blocks.emplace_back (block);

    co_await respondJson (exchange, id == 0 ? http::status::not_found : http::status::ok,
                          makeObject ("blocks", std::move (blocks)));
}

auto FakeEngine::handleImport (Exchange& exchange) -> Task<void>
{
    const auto body = jsonBody (exchange);
    std::vector<std::uint64_t> blocks;

    if (const auto* list = body.if_contains ("blocks"); list != nullptr && list->is_array())
        for (const auto& block : list->get_array())
            blocks.push_back (block.to_number<std::uint64_t>());

    model.importBlocks (blocks);
    co_await respondJson (exchange, http::status::ok, makeObject ("imported", blocks.size()));
}

auto FakeEngine::handleLoad (Exchange& exchange) -> Task<void>
{
    recordReports();
    co_await respondJson (exchange, http::status::ok, reports.front().figures);
}

auto FakeEngine::handleCacheEvents (Exchange& exchange) -> Task<void>
{
    const auto after = std::strtoull (std::string (exchange.query ("after")).c_str(), nullptr, 10);
    json::array list;

    for (const auto& [number, event] : cacheEvents)
        if (number > after)
            list.emplace_back (makeObject ("number", number, "block", event.block, "stored", event.stored));

    co_await respondJson (exchange, http::status::ok,
                          makeObject ("events", std::move (list), "last", nextEvent - 1));
}

auto FakeEngine::handleOrder (Exchange& exchange) -> Task<void>
{
    const auto body = jsonBody (exchange);
    const auto orderFence = static_cast<std::uint64_t> (numberIn (body, "fence", 0));
    const auto checksFences = ! settings.has_checks_fences() || settings.checks_fences();

    if (checksFences && orderFence < fence)
    {
        co_await respondJson (exchange, http::status::conflict,
                              makeObject ("error", "old fence", "fence", fence));
        co_return;
    }

    fence = std::max (fence, orderFence);

    if (const auto version = textIn (body, "version"); ! version.empty())
        loadedVersion = version;

    if (const auto newRole = textIn (body, "role"); ! newRole.empty())
        role = newRole;

    co_await respondJson (exchange, http::status::ok,
                          makeObject ("fence", fence, "version", loadedVersion, "role", role));
}

auto FakeEngine::handleStats (Exchange& exchange) -> Task<void>
{
    const auto& counts = model.counts();
    co_await respondJson (exchange, http::status::ok,
                          makeObject ("name", settings.name(), "requests", counts.requests,
                                      "computed_prompt_tokens", counts.computedPromptTokens,
                                      "cached_prompt_tokens", counts.cachedPromptTokens, "generated_tokens",
                                      counts.generatedTokens, "cancelled", counts.cancelled, "refused",
                                      counts.refused, "open", streams.size()));
}

auto FakeEngine::handleFaults (Exchange& exchange) -> Task<void>
{
    const auto body = jsonBody (exchange);
    faults.refuse = flagIn (body, "refuse", faults.refuse);
    faults.stall = flagIn (body, "stall", faults.stall);
    faults.cut = flagIn (body, "cut", faults.cut);
    faults.sendsMalformed = flagIn (body, "nonsense", faults.sendsMalformed);
    faults.leaving = flagIn (body, "leaving", faults.leaving);

    for (const auto& [id, stream] : streams)
        stream->signal->notify();

    co_await respondJson (exchange, http::status::ok,
                          makeObject ("refuse", faults.refuse, "stall", faults.stall, "cut", faults.cut,
                                      "nonsense", faults.sendsMalformed, "leaving", faults.leaving));
}

} // namespace snowrudder
