#include "ChatHandler.h"

#include "ModelRun.h"
#include "RecordRelay.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

/** A valid chat request with the service that offers its model and its idempotency key. */
struct ResolvedChat
{
    ChatRequest request;
    std::shared_ptr<const ServiceView> service;
    std::string key;
};

auto resolveRequest (const Exchange& exchange, const CallerScope& scope)
    -> std::variant<ResolvedChat, Problem>
{
    auto parsed = parseChatRequest (exchange.request().body());

    if (auto* problem = std::get_if<Problem> (&parsed))
        return std::move (*problem);

    auto key = readIdempotencyKey (exchange);

    if (auto* problem = std::get_if<Problem> (&key))
        return std::move (*problem);

    ResolvedChat resolved;
    resolved.request = std::get<ChatRequest> (std::move (parsed));
    resolved.key = std::get<std::string> (std::move (key));
    resolved.service = scope.fleet->serviceForModel (resolved.request.model);

    if (! resolved.service)
        return makeProblem (ErrorKind::unknownModel, "model \"" + resolved.request.model + "\"");

    if (! scope.account->services.contains (resolved.service->name))
        return makeProblem (ErrorKind::forbidden, "service \"" + resolved.service->name + "\"");

    return resolved;
}

auto makeRecord (const CallerScope& scope, const ResolvedChat& resolved, const Exchange& exchange)
    -> std::shared_ptr<RequestRecord>
{
    RequestIdentity identity;
    identity.id = scope.id;
    identity.account = scope.account->name;
    identity.service = resolved.service->name;
    identity.model = resolved.request.model;
    identity.stream = resolved.request.stream;
    identity.includeUsage = resolved.request.includeUsage;
    identity.accepted = BootClock::now();
    identity.deadline = identity.accepted + scope.account->deadline;
    identity.created = std::chrono::floor<std::chrono::seconds> (wallTimeNow());
    identity.contentHash = hashBytes (exchange.request().body());
    return std::make_shared<RequestRecord> (std::move (identity));
}

} // namespace

auto handleChat (RouterState& state, Worker& worker, Exchange& exchange, CallerScope scope) -> Task<void>
{
    auto resolution = resolveRequest (exchange, scope);

    if (const auto* problem = std::get_if<Problem> (&resolution))
    {
        co_await respondProblem (state, exchange, *problem, toString (scope.id));
        co_return;
    }

    auto& resolved = std::get<ResolvedChat> (resolution);
    std::optional<Problem> admissionProblem;
    auto admitted = std::make_shared<AccountAdmission> (state, *scope.account, admissionProblem);

    if (admissionProblem)
    {
        co_await respondProblem (state, exchange, *admissionProblem, toString (scope.id));
        co_return;
    }

    const auto record = makeRecord (scope, resolved, exchange);

    // Created before the record is added to the table: the constructor stores the caller's request in the record, and a
    // router that leaves can't hand over a record without its request.
    const auto run = std::make_shared<ModelRun> (state, worker, record, std::move (resolved.request),
                                                 scope.account, std::move (resolved.service));

    const auto refusal = resolved.key.empty()
                             ? checkCrashVerdict (state, run->requestFingerprint(), toString (scope.id))
                             : std::nullopt;

    if (refusal)
    {
        co_await respondProblem (state, exchange, *refusal, toString (scope.id));
        co_return;
    }

    if (const auto earlier = state.requests.add (record, resolved.key))
    {
        admitted.reset();

        if (earlier->identity().contentHash != record->identity().contentHash)
            co_await respondProblem (state, exchange, makeProblem (ErrorKind::keyConflict),
                                     toString (scope.id));
        else
            co_await relayRecord (state, exchange, earlier, 0);

        co_return;
    }

    // The run holds the parsed request, so that the connection doesn't need the body any longer.
    exchange.request().body() = {};

    run->start (std::move (admitted));
    co_await relayRecord (state, exchange, record, 0);
}

auto handleModels (RouterState& state, Exchange& exchange, CallerScope scope) -> Task<void>
{
    json::array models;

    for (const auto& [name, service] : scope.fleet->services())
    {
        if (service->kind != schema::MODEL || ! scope.account->services.contains (name))
            continue;

        for (const auto& model : service->models)
        {
            json::object entry;
            entry["id"] = model;
            entry["object"] = "model";
            entry["created"] = 0;
            entry["owned_by"] = name;
            models.emplace_back (std::move (entry));
        }
    }

    json::object answer;
    answer["object"] = "list";
    answer["data"] = std::move (models);

    HttpResponse response (http::status::ok, 11);
    response.set (http::field::content_type, "application/json");
    response.set ("Snowrudder-Request-Id", toString (scope.id));
    response.body() = json::serialize (answer);
    state.counts.requests.add();
    co_await exchange.respond (std::move (response));
}

} // namespace snowrudder
