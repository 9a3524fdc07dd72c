#include "Gateway.h"

#include "../model/ChatHandler.h"
#include "../peers/InternalHandler.h"
#include "../plain/PlainHandler.h"
#include "../resume/ResumeHandler.h"
#include "CallerScope.h"

namespace snowrudder
{

namespace
{

constexpr auto requestsPrefix = std::string_view ("/v1/requests/");
constexpr auto servicesPrefix = std::string_view ("/services/");

/** Handles the health checks of the load balancer and the requests of the metrics collector, which need no client account.

    @returns whether the request was one of these
*/
auto answerProbe (RouterState& state, Exchange& exchange) -> Task<bool>
{
    const auto path = exchange.path();

    if (path == "/livez")
    {
        co_await exchange.respond (http::status::ok, "text/plain", "ok\n");
        co_return true;
    }

    if (path == "/readyz")
    {
        const auto isReady = state.isReady();
        const auto status = isReady ? http::status::ok : http::status::service_unavailable;
        co_await exchange.respond (status, "text/plain", isReady ? "ready\n" : "not ready\n");
        co_return true;
    }

    if (path == "/metrics")
    {
        co_await exchange.respond (http::status::ok, "text/plain; version=0.0.4", state.metrics.text());
        co_return true;
    }

    co_return false;
}

/** Identifies the client account of a request and fills in its scope.

    @returns a problem if there is no settings tree yet or the key is not valid
*/
auto checkCaller (const RouterState& state, const Exchange& exchange, CallerScope& scope)
    -> std::optional<Problem>
{
    scope.id = { state.settings.node().name(), makeUuid (wallTimeNow()) };
    scope.fleet = state.fleet();
    scope.account = scope.fleet->accountForKey (bearerKey (exchange));

    if (! state.hasTree)
        return makeProblem (ErrorKind::noReplica, "this router has no settings yet");

    if (! scope.account)
        return makeProblem (ErrorKind::unauthorized);

    return {};
}

auto wrongMethod (std::string_view allowed) -> Problem
{
    return makeProblem (ErrorKind::methodNotAllowed, "this path takes " + std::string (allowed));
}

auto dispatch (RouterState& state, Worker& worker, Exchange& exchange, CallerScope scope) -> Task<void>
{
    const auto path = exchange.path();
    const auto method = exchange.request().method();

    if (path == "/v1/chat/completions")
    {
        if (method == http::verb::post)
            co_await handleChat (state, worker, exchange, std::move (scope));
        else
            co_await respondProblem (state, exchange, wrongMethod ("POST"), toString (scope.id));
    }
    else if (path == "/v1/models")
    {
        if (method == http::verb::get)
            co_await handleModels (state, exchange, std::move (scope));
        else
            co_await respondProblem (state, exchange, wrongMethod ("GET"), toString (scope.id));
    }
    else if (path.starts_with (requestsPrefix))
    {
        if (method == http::verb::get)
            co_await handleResume (state, worker, exchange, std::move (scope),
                                   std::string (path.substr (requestsPrefix.size())));
        else
            co_await respondProblem (state, exchange, wrongMethod ("GET"), toString (scope.id));
    }
    else if (path.starts_with (servicesPrefix))
        co_await handlePlain (state, worker, exchange, std::move (scope));
    else
        co_await respondProblem (state, exchange, makeProblem (ErrorKind::notFound), toString (scope.id));
}

} // namespace

auto handleExchange (RouterState& state, Worker& worker, Exchange& exchange) -> Task<void>
{
    if (co_await answerProbe (state, exchange))
        co_return;

    if (exchange.path().starts_with (internalPrefix))
    {
        co_await handleInternal (state, worker, exchange);
        co_return;
    }

    state.counts.requests.add();

    // `/readyz` already directs the load balancer elsewhere; closing makes callers with persistent connections move too.
    if (state.leaving)
        exchange.closeAfterResponse();

    CallerScope scope;

    if (const auto problem = checkCaller (state, exchange, scope))
    {
        co_await respondProblem (state, exchange, *problem, toString (scope.id));
        co_return;
    }

    co_await dispatch (state, worker, exchange, std::move (scope));
}

} // namespace snowrudder
