#include "AdminHandler.h"

#include "../spread/TreeSpread.h"
#include "../store/EditProcedure.h"
#include "AdminResponses.h"
#include "EditHandler.h"

#include <algorithm>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto historyPrefix = std::string_view ("/v1/settings/history");
constexpr auto checkPath = std::string_view ("/v1/settings:check");

auto findOperator (const AdminState& state, const Exchange& exchange) -> const schema::Operator*
{
    const auto key = bearerKey (exchange);

    if (key.empty())
        return nullptr;

    const auto hash = sha256Hex (key);
    const auto& operators = state.settings.operators();
    const auto found = std::ranges::find (operators, hash, &schema::Operator::sha256);
    return found == operators.end() ? nullptr : &*found;
}

auto respondPlainProblem (Exchange& exchange, ErrorKind kind, std::string detail = {}) -> Task<void>
{
    co_await respondProblem (exchange, makeProblem (kind, std::move (detail)));
}

/** @returns the current tree, or nothing if the platform's service does not respond. */
auto readHead (AdminState& state) -> Task<std::optional<StoredTree>>
{
    const auto stored = co_await state.platform.read (treeStoreKey, "settings");
    co_return stored ? readStoredTree (*stored) : std::nullopt;
}

auto policyJson (const std::vector<EffectiveValue>& values) -> json::object
{
    json::object policy;

    for (const auto& entry : values)
    {
        json::object value;
        value["value"] = entry.value;
        value["from"] = entry.sourcePath;
        policy[entry.field] = std::move (value);
    }

    return policy;
}

auto handleRead (AdminState& state, Exchange& exchange) -> Task<void>
{
    const auto head = co_await readHead (state);

    if (! head)
        co_return co_await respondPlainProblem (exchange, ErrorKind::platformUnavailable);

    const auto path = settingsPath (exchange);
    json::object body;
    body["revision"] = head->revision;

    if (exchange.query ("effective") == "true")
    {
        const auto policy = effectivePolicy (head->tree, path);

        if (! policy)
            co_return co_await respondPlainProblem (exchange, ErrorKind::notFound,
                                                    "there is no client account at this path");

        body["effective"] = policyJson (*policy);
        co_return co_await respondJsonBody (exchange, http::status::ok, body);
    }

    const auto* value = valueAt (head->tree, path);

    if (value == nullptr)
        co_return co_await respondPlainProblem (exchange, ErrorKind::notFound,
                                                "nothing is set at this path; it may be inherited");

    body["value"] = *value;
    co_await respondJsonBody (exchange, http::status::ok, body);
}

/** @returns the current revision and those in the history, newest first; nothing if the platform's service does not
    respond.
*/
auto readHistory (AdminState& state) -> Task<std::optional<std::vector<StoredTree>>>
{
    const auto head = co_await readHead (state);
    const auto historyEntries = co_await state.platform.list ("settings/history/", "settings");

    if (! head || ! historyEntries)
        co_return std::nullopt;

    std::vector<StoredTree> trees { *head };

    for (const auto& stored : *historyEntries)
        if (auto entry = readHistoryEntry (stored); entry && entry->revision < head->revision)
            trees.push_back (std::move (*entry));

    std::ranges::sort (trees, std::ranges::greater(), &StoredTree::revision);
    co_return trees;
}

auto historyJson (const std::vector<StoredTree>& trees) -> json::array
{
    json::array list;

    for (auto index = std::size_t { 0 }; index < trees.size(); ++index)
    {
        json::object entry;
        entry["revision"] = trees[index].revision;

        if (const auto* mark = valueAt (trees[index].tree, { "edit" }))
            entry["edit"] = *mark;

        if (index + 1 < trees.size())
            entry["changes"] = changesJson (diffTrees (trees[index + 1].tree, trees[index].tree));

        list.push_back (std::move (entry));
    }

    return list;
}

auto handleHistory (AdminState& state, Exchange& exchange) -> Task<void>
{
    const auto trees = co_await readHistory (state);

    if (! trees)
        co_return co_await respondPlainProblem (exchange, ErrorKind::platformUnavailable);

    const auto requestedPath = parseTreePath (exchange.path().substr (historyPrefix.size()));
    json::object body;

    if (requestedPath.empty())
    {
        body["revisions"] = historyJson (*trees);
        co_return co_await respondJsonBody (exchange, http::status::ok, body);
    }

    for (const auto& tree : *trees)
    {
        if (std::to_string (tree.revision) != requestedPath.front())
            continue;

        body["revision"] = tree.revision;
        body["value"] = tree.tree;
        co_return co_await respondJsonBody (exchange, http::status::ok, body);
    }

    co_await respondPlainProblem (exchange, ErrorKind::notFound, "this revision is not kept");
}

auto handleCheck (Exchange& exchange) -> Task<void>
{
    schema::FleetSettings tree;
    auto errors = readMessage (exchange.request().body(), "body", tree);

    if (errors.empty())
        errors = checkTree (tree, "body");

    json::object body;
    body["valid"] = errors.empty();
    body["errors"] = errorsJson (errors);
    co_await respondJsonBody (exchange, http::status::ok, body);
}

auto routerJson (const RouterStatusResponse& response) -> json::object
{
    json::object router;
    router["name"] = response.name;
    router["failure_domain"] = response.failureDomain;
    router["reached"] = response.reached;

    if (! response.reached)
        return router;

    router["revision"] = response.status.revision();
    router["ready"] = response.status.ready();
    router["leaving"] = response.status.leaving();
    router["usable_replicas"] = response.status.usable_replicas();
    router["leaving_replicas"] = response.status.leaving_replicas();
    router["suspended_replicas"] = response.status.suspended_replicas();
    router["open_requests"] = response.status.open_requests();
    return router;
}

auto handleStatus (AdminState& state, Exchange& exchange) -> Task<void>
{
    const auto routers = co_await queryRouters (state);
    const auto head = co_await readHead (state);
    json::array list;

    for (const auto& router : routers)
        list.push_back (routerJson (router));

    json::object body;
    body["platform_reached"] = head.has_value();

    if (head)
        body["revision"] = head->revision;

    body["routers"] = std::move (list);
    co_await respondJsonBody (exchange, http::status::ok, body);
}

auto respondToProbe (AdminState& state, Exchange& exchange) -> Task<bool>
{
    if (exchange.path() == "/livez" || exchange.path() == "/readyz")
        co_await exchange.respond (http::status::ok, "text/plain", "ok\n");
    else if (exchange.path() == "/metrics")
        co_await exchange.respond (http::status::ok, "text/plain; version=0.0.4", state.metrics.text());
    else
        co_return false;

    co_return true;
}

auto dispatch (AdminState& state, Exchange& exchange, const schema::Operator& author) -> Task<void>
{
    const auto path = exchange.path();
    const auto method = exchange.request().method();
    const auto isRead = method == http::verb::get;

    if (path == "/v1/status" && isRead)
        return handleStatus (state, exchange);

    if (path == checkPath && method == http::verb::post)
        return handleCheck (exchange);

    if (! path.starts_with (settingsPrefix))
        return respondPlainProblem (exchange, ErrorKind::notFound);

    if (isRead)
        return path.starts_with (historyPrefix) ? handleHistory (state, exchange)
                                                : handleRead (state, exchange);

    const auto isEdit =
        method == http::verb::put || method == http::verb::patch || method == http::verb::delete_;

    if (! isEdit)
        return respondPlainProblem (exchange, ErrorKind::methodNotAllowed);

    if (author.role() != schema::EDIT)
        return respondPlainProblem (exchange, ErrorKind::forbidden, "this operator may only read");

    return handleEdit (state, exchange, author.name());
}

} // namespace

auto handleAdmin (AdminState& state, Exchange& exchange) -> Task<void>
{
    if (co_await respondToProbe (state, exchange))
        co_return;

    const auto* author = findOperator (state, exchange);

    if (author == nullptr)
        co_await respondPlainProblem (exchange, ErrorKind::unauthorized);
    else
        co_await dispatch (state, exchange, *author);
}

} // namespace snowrudder
