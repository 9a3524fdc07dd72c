#include "TreeSpread.h"

namespace snowrudder
{

namespace
{

constexpr auto responseTimeout = 1s;
constexpr auto retryInterval = 300ms;

auto callRouter (AdminState& state, const schema::Peer& router, std::string_view target, std::string body)
    -> Task<SimpleResponse>
{
    const CallTimeouts timeouts { responseTimeout, responseTimeout, responseTimeout };
    auto request = makeRequest (http::verb::post, target, std::move (body));
    signRequest (state.settings.node_secret(), state.settings.node().name(), request);
    return callOnce (state.pool, parseEndpoint (router.endpoint()), std::move (request), timeouts);
}

auto sendTree (AdminState& state,
               const schema::Peer& router,
               const std::string& message,
               RouterRevision& routerRevision) -> Task<void>
{
    const auto response = co_await callRouter (state, router, treeTarget, message);
    schema::TreeExchange reply;

    if (response.hasSucceeded() && reply.ParseFromString (response.body))
        routerRevision.revision = reply.revision();
}

auto queryRouter (AdminState& state, const schema::Peer& router, RouterStatusResponse& statusResponse)
    -> Task<void>
{
    const auto response = co_await callRouter (state, router, statusTarget, "?");
    statusResponse.reached = response.hasSucceeded() && statusResponse.status.ParseFromString (response.body);
}

} // namespace

auto distributeRevision (AdminState& state, const StoredTree& tree, Duration timeout)
    -> Task<std::vector<RouterRevision>>
{
    schema::TreeExchange message;
    message.set_revision (tree.revision);
    message.set_text (tree.text);
    const auto text = message.SerializeAsString();
    std::vector<RouterRevision> routerRevisions;

    for (const auto& router : state.settings.routers())
        routerRevisions.push_back ({ router.failure_domain(), 0 });

    const auto deadline = BootClock::now() + timeout;

    for (;;)
    {
        const auto sendOne = [&] (std::size_t index) {
            return sendTree (state, state.settings.routers (static_cast<int> (index)), text,
                             routerRevisions[index]);
        };
        co_await runAll (state.loop, routerRevisions.size(), sendOne);

        if (isAccepted (routerRevisions, tree.revision) || BootClock::now() >= deadline)
            co_return routerRevisions;

        BootTimer timer (state.loop, retryInterval);
        co_await timer.async_wait (asTuple);
    }
}

auto queryRouters (AdminState& state) -> Task<std::vector<RouterStatusResponse>>
{
    std::vector<RouterStatusResponse> responses;

    for (const auto& router : state.settings.routers())
        responses.push_back ({ router.name(), router.failure_domain(), false, {} });

    const auto queryOne = [&] (std::size_t index)
    { return queryRouter (state, state.settings.routers (static_cast<int> (index)), responses[index]); };
    co_await runAll (state.loop, responses.size(), queryOne);
    co_return responses;
}

} // namespace snowrudder
