#include "TreeSpread.h"

namespace snowrudder
{

namespace
{

constexpr auto answerTime = 1s;
constexpr auto pauseBetween = 300ms;

auto callRouter (AdminState& state, const schema::Peer& router, std::string_view target, std::string body)
    -> Task<SimpleResponse>
{
    const CallTimeouts timeouts { answerTime, answerTime, answerTime };
    auto request = makeRequest (http::verb::post, target, std::move (body));
    signRequest (state.settings.node_secret(), state.settings.node().name(), request);
    return callOnce (state.pool, parseEndpoint (router.endpoint()), std::move (request), timeouts);
}

auto giveTree (AdminState& state, const schema::Peer& router, const std::string& message, HeldRevision& held)
    -> Task<void>
{
    const auto answer = co_await callRouter (state, router, treeTarget, message);
    schema::TreeExchange theirs;

    if (answer.hasSucceeded() && theirs.ParseFromString (answer.body))
        held.revision = theirs.revision();
}

auto askRouter (AdminState& state, const schema::Peer& router, RouterAnswer& answered) -> Task<void>
{
    const auto answer = co_await callRouter (state, router, statusTarget, "?");
    answered.reached = answer.hasSucceeded() && answered.status.ParseFromString (answer.body);
}

} // namespace

auto spreadRevision (AdminState& state, const StoredTree& tree, Duration longest)
    -> Task<std::vector<HeldRevision>>
{
    schema::TreeExchange message;
    message.set_revision (tree.revision);
    message.set_text (tree.text);
    const auto text = message.SerializeAsString();
    std::vector<HeldRevision> held;

    for (const auto& router : state.settings.routers())
        held.push_back ({ router.failure_domain(), 0 });

    const auto end = SteadyClock::now() + longest;

    for (;;)
    {
        const auto giveOne = [&] (std::size_t index)
        { return giveTree (state, state.settings.routers (static_cast<int> (index)), text, held[index]); };
        co_await runAll (state.loop, held.size(), giveOne);

        if (isAccepted (held, tree.revision) || SteadyClock::now() >= end)
            co_return held;

        asio::steady_timer timer (state.loop, pauseBetween);
        co_await timer.async_wait (asTuple);
    }
}

auto askRouters (AdminState& state) -> Task<std::vector<RouterAnswer>>
{
    std::vector<RouterAnswer> answers;

    for (const auto& router : state.settings.routers())
        answers.push_back ({ router.name(), router.failure_domain(), false, {} });

    const auto askOne = [&] (std::size_t index)
    { return askRouter (state, state.settings.routers (static_cast<int> (index)), answers[index]); };
    co_await runAll (state.loop, answers.size(), askOne);
    co_return answers;
}

} // namespace snowrudder
