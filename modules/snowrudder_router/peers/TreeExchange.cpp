#include "TreeExchange.h"

#include "../background/PlatformFollower.h"
#include "PeerCalls.h"

namespace snowrudder
{

namespace
{

constexpr auto compareInterval = 1s;
constexpr auto responseTimeout = 1s;

/** Puts the tree of a message in force if it is newer. */
auto adoptReceivedTree (RouterState& state, const schema::TreeExchange& message) -> void
{
    if (! message.text().empty())
        adoptTree (state, message.text(), message.revision());
}

/** Compares revisions with one peer; whichever side has the newer tree sends its text to the other. */
auto compareWith (RouterState& state, Worker& worker, const schema::Peer& peer) -> Task<void>
{
    const CallTimeouts timeouts { responseTimeout, responseTimeout, responseTimeout };
    schema::TreeExchange own;
    own.set_revision (state.currentTree().revision);

    auto request = makeRequest (http::verb::post, treeTarget, own.SerializeAsString());
    const auto answer = co_await callPeer (state, worker, peer.endpoint(), std::move (request), timeouts);
    schema::TreeExchange theirs;

    if (! answer.hasSucceeded() || ! theirs.ParseFromString (answer.body))
        co_return;

    adoptReceivedTree (state, theirs);
    const auto held = state.currentTree();

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

    adoptReceivedTree (state, theirs);

    const auto held = state.currentTree();
    schema::TreeExchange own;
    own.set_revision (held.revision);

    if (theirs.revision() < held.revision)
        own.set_text (*held.text);

    return own.SerializeAsString();
}

auto gossipTree (RouterState& state, Worker& worker) -> Task<void>
{
    const auto peers = state.settings.peers_size();

    if (peers == 0)
        co_return;

    for (;;)
    {
        const auto selected = std::min (static_cast<int> (randomFraction() * peers), peers - 1);
        co_await compareWith (state, worker, state.settings.peers (selected));
        co_await pauseFor (worker.loop, jittered (compareInterval));
    }
}

auto routerStatus (const RouterState& state) -> std::string
{
    schema::RouterStatus status;
    status.set_revision (state.currentTree().revision);
    status.set_ready (state.isReady());
    status.set_leaving (state.leaving);
    status.set_open_requests (static_cast<std::uint32_t> (state.requests.openCount()));
    const auto now = BootClock::now();

    state.replicas.forEach (
        [&] (const ReplicaState& replica)
        {
            const auto use = availabilityOf (replica, now);

            if (use == ReplicaAvailability::usable)
                status.set_usable_replicas (status.usable_replicas() + 1);
            else if (use == ReplicaAvailability::leaving)
                status.set_leaving_replicas (status.leaving_replicas() + 1);
            else
                status.set_suspended_replicas (status.suspended_replicas() + 1);
        });

    return status.SerializeAsString();
}

} // namespace snowrudder
