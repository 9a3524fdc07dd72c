#include "TreeExchange.h"

#include "../background/PlatformFollower.h"
#include "PeerCalls.h"

namespace snowrudder
{

namespace
{

constexpr auto interval = 1s;
constexpr auto answerTime = 1s;

/** Puts a message's tree in force where it is newer. */
auto takeTree (RouterState& state, const schema::TreeExchange& message) -> void
{
    if (! message.text().empty())
        adoptTree (state, message.text(), message.revision());
}

/** Compares the tree with one peer, both ways: the newer text goes to the other. */
auto compareWith (RouterState& state, Worker& worker, const schema::Peer& peer) -> Task<void>
{
    const CallTimeouts timeouts { answerTime, answerTime, answerTime };
    schema::TreeExchange own;
    own.set_revision (state.heldTree().revision);

    auto request = makeRequest (http::verb::post, treeTarget, own.SerializeAsString());
    const auto answer = co_await callPeer (state, worker, peer.endpoint(), std::move (request), timeouts);
    schema::TreeExchange theirs;

    if (! answer.hasSucceeded() || ! theirs.ParseFromString (answer.body))
        co_return;

    takeTree (state, theirs);
    const auto held = state.heldTree();

    if (theirs.revision() >= held.revision)
        co_return;

    own.set_revision (held.revision);
    own.set_text (*held.text);
    auto push = makeRequest (http::verb::post, treeTarget, own.SerializeAsString());
    co_await callPeer (state, worker, peer.endpoint(), std::move (push), timeouts);
}

} // namespace

auto exchangeTree (RouterState& state, const std::string& message) -> std::optional<std::string>
{
    schema::TreeExchange theirs;

    if (! theirs.ParseFromString (message))
        return {};

    takeTree (state, theirs);

    const auto held = state.heldTree();
    schema::TreeExchange own;
    own.set_revision (held.revision);

    if (theirs.revision() < held.revision)
        own.set_text (*held.text);

    return own.SerializeAsString();
}

auto spreadTree (RouterState& state, Worker& worker) -> Task<void>
{
    const auto peers = state.settings.peers_size();

    if (peers == 0)
        co_return;

    for (;;)
    {
        const auto drawn = std::min (static_cast<int> (randomFraction() * peers), peers - 1);
        co_await compareWith (state, worker, state.settings.peers (drawn));
        co_await pauseFor (worker.loop, jittered (interval));
    }
}

auto routerStatus (const RouterState& state) -> std::string
{
    schema::RouterStatus status;
    status.set_revision (state.heldTree().revision);
    status.set_ready (state.isReady());
    status.set_leaving (state.leaving);
    status.set_open_requests (static_cast<std::uint32_t> (state.requests.openCount()));
    const auto now = SteadyClock::now();

    state.replicas.forEach (
        [&] (const ReplicaState& replica)
        {
            const auto use = useOf (replica, now);

            if (use == ReplicaUse::usable)
                status.set_usable_replicas (status.usable_replicas() + 1);
            else if (use == ReplicaUse::leaving)
                status.set_leaving_replicas (status.leaving_replicas() + 1);
            else
                status.set_suspended_replicas (status.suspended_replicas() + 1);
        });

    return status.SerializeAsString();
}

} // namespace snowrudder
