#include "PeerCalls.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** @returns the failure domain of this router or of a peer; empty if the name is unknown. */
auto domainOf (const RouterState& state, std::string_view name) -> std::string
{
    if (name == state.settings.node().name())
        return state.settings.node().failure_domain();

    const auto* peer = findPeer (state, name);
    return peer == nullptr ? std::string() : peer->failure_domain();
}

} // namespace

auto signRequest (const RouterState& state, HttpRequest& request) -> void
{
    signRequest (state.settings.node_secret(), state.settings.node().name(), request);
}

auto signingPeer (const RouterState& state, const HttpRequest& request) -> std::optional<std::string>
{
    return verifiedSigner (state.settings.node_secret(), request);
}

auto findPeer (const RouterState& state, std::string_view name) -> const schema::Peer*
{
    for (const auto& peer : state.settings.peers())
        if (peer.name() == name)
            return &peer;

    return nullptr;
}

auto successorsOf (const RouterState& state, const RequestId& request) -> std::vector<const schema::Peer*>
{
    struct Successor
    {
        const schema::Peer* peer = nullptr;
        bool isSameDomain = false;
        std::uint64_t rank = 0;
    };

    const auto domain = domainOf (state, request.node);
    const auto hash = hashBytes (toString (request));
    std::vector<Successor> successors;

    for (const auto& peer : state.settings.peers())
        if (peer.name() != request.node)
            successors.push_back ({ &peer, peer.failure_domain() == domain, hashBytes (peer.name(), hash) });

    std::ranges::sort (successors, {},
                       [] (const Successor& successor)
                       { return std::pair (successor.isSameDomain, ~successor.rank); });
    successors.resize (std::min (successors.size(), maxSuccessors));
    std::vector<const schema::Peer*> peers;
    peers.reserve (successors.size());

    for (const auto& successor : successors)
        peers.push_back (successor.peer);

    return peers;
}

auto callPeer (const RouterState& state,
               Worker& worker,
               const std::string& endpoint,
               HttpRequest request,
               CallTimeouts timeouts) -> Task<SimpleResponse>
{
    signRequest (state, request);
    return callOnce (worker.pool, parseEndpoint (endpoint), std::move (request), timeouts);
}

} // namespace snowrudder
