#include "RequestHandover.h"

#include "../peers/PeerCalls.h"
#include "ModelRun.h"
#include "node_messages.pb.h"

namespace snowrudder
{

namespace
{

constexpr auto handoverTimeout = 1s;

auto toMessage (const HandoverState& handed) -> schema::HandedRequest
{
    const auto& identity = handed.identity;
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds> (identity.deadline - BootClock::now());

    schema::HandedRequest message;
    message.set_request_id (toString (identity.id));
    message.set_account (identity.account);
    message.set_service (identity.service);
    message.set_body (handed.body);
    message.set_content_hash (identity.contentHash);
    message.set_created_seconds (static_cast<std::uint64_t> (identity.created.time_since_epoch().count()));
    message.set_milliseconds_left (static_cast<std::uint32_t> (std::max<std::int64_t> (0, left.count())));
    message.set_text (handed.answer.text());
    message.set_answer_tokens (handed.answerTokens);
    message.set_prompt_tokens (handed.usage.promptTokens);
    message.set_cached_tokens (handed.usage.cachedTokens);

    if (handed.finishReason)
        message.set_finish_reason (*handed.finishReason);

    for (const auto event : handed.answer.eventCodes())
        message.add_events (event);

    for (const auto& choice : handed.answer.choices())
        message.add_choices (choice);

    return message;
}

/** Offers a request to its successors, one after the other.

    @returns the name of the successor that accepted it; empty if none did
*/
auto offerToSuccessors (RouterState& state,
                        Worker& worker,
                        RequestId id,
                        const schema::HandedRequest& message) -> Task<std::string>
{
    for (const auto* successor : successorsOf (state, id))
    {
        auto request = makeRequest (http::verb::post, "/internal/request", message.SerializeAsString());
        const auto answer = co_await callPeer (state, worker, successor->endpoint(), std::move (request),
                                               { handoverTimeout, handoverTimeout, handoverTimeout });

        if (answer.hasSucceeded())
            co_return successor->name();
    }

    co_return std::string();
}

auto handOver (RouterState& state, Worker& worker, std::shared_ptr<RequestRecord> record) -> Task<void>
{
    const auto handed = record->takeForHandover();

    if (! handed)
        co_return;

    const auto successor =
        co_await offerToSuccessors (state, worker, record->identity().id, toMessage (*handed));

    LogLine ("request_handed_over")
        .with ("request", toString (record->identity().id))
        .with ("to", successor.empty() ? "nobody" : successor)
        .with ("events", handed->answer.eventCount())
        .with ("whole", handed->finishReason ? "yes" : "no")
        .write (successor.empty() ? LogLevel::warning : LogLevel::info);
}

/** @returns the record of a request that is handed over, with the part of its answer produced so far; nullptr if that part is
    malformed.
*/
auto restoreRecord (const schema::HandedRequest& message, const RequestId& id, const ChatRequest& request)
    -> std::shared_ptr<RequestRecord>
{
    const auto answer =
        StreamedAnswer::restore (message.text(), { message.events().begin(), message.events().end() },
                                 { message.choices().begin(), message.choices().end() });

    if (! answer)
        return nullptr;

    RequestIdentity identity;
    identity.id = id;
    identity.account = message.account();
    identity.service = message.service();
    identity.model = request.model;
    identity.stream = request.stream;
    identity.includeUsage = request.includeUsage;
    identity.accepted = BootClock::now();
    identity.deadline = identity.accepted + std::chrono::milliseconds (message.milliseconds_left());
    identity.created = std::chrono::sys_seconds (std::chrono::seconds (message.created_seconds()));
    identity.contentHash = message.content_hash();

    auto record = std::make_shared<RequestRecord> (std::move (identity));
    record->restore (*answer);
    return record;
}

} // namespace

auto handOverRequests (RouterState& state, Worker& worker) -> Task<void>
{
    // Hands over all requests concurrently, as a reclaim notice leaves only seconds. This includes complete answers that their
    // callers have not read to the end.
    const auto records = state.requests.all();
    const auto handOverOne = [&] (std::size_t index) { return handOver (state, worker, records[index]); };
    co_await runAll (worker.loop, records.size(), handOverOne);
}

auto acceptHandedRequest (RouterState& state, Worker& worker, const std::string& text) -> bool
{
    schema::HandedRequest message;

    if (! message.ParseFromString (text))
        return false;

    const auto id = parseRequestId (message.request_id());
    auto parsed = parseChatRequest (message.body());
    const auto fleet = state.fleet();
    const auto service = fleet->service (message.service());
    const auto account = fleet->accountNamed (message.account());

    if (! id || ! std::holds_alternative<ChatRequest> (parsed) || ! service || ! account)
        return false;

    auto request = std::get<ChatRequest> (std::move (parsed));
    const auto record = restoreRecord (message, *id, request);

    if (! record)
        return false;

    std::shared_ptr<ModelRun> run;

    if (message.has_finish_reason())
    {
        record->keepRequest (std::make_shared<const ChatRequest> (std::move (request)));
        record->finish (message.finish_reason(),
                        { message.prompt_tokens(), message.cached_tokens(), message.answer_tokens() });
    }
    else
    {
        run = std::make_shared<ModelRun> (state, worker, record, std::move (request), account, service);

        if (message.prompt_tokens() > 0)
            run->continueFrom ({ message.prompt_tokens(), message.cached_tokens(), 0 },
                               message.answer_tokens());
    }

    // A request that is handed over twice is accepted once.
    if (state.requests.addHandedOver (record) != record)
        return true;

    LogLine ("request_taken_over")
        .with ("request", message.request_id())
        .with ("events", record->eventCount())
        .with ("whole", run ? "no" : "yes")
        .info();

    if (run)
        run->start (nullptr);
    else
        state.requests.markEnded (record, BootClock::now());

    return true;
}

} // namespace snowrudder
