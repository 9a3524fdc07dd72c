#include "PeerCalls.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** @returns the failure domain of a router: its own, or a peer's. */
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

auto heirsOf (const RouterState& state, const RequestId& request) -> std::vector<const schema::Peer*>
{
    struct Heir
    {
        const schema::Peer* peer = nullptr;
        bool sameDomain = false;
        std::uint64_t value = 0;
    };

    const auto domain = domainOf (state, request.node);
    const auto hash = hashBytes (toString (request));
    std::vector<Heir> heirs;

    for (const auto& peer : state.settings.peers())
        if (peer.name() != request.node)
            heirs.push_back ({ &peer, peer.failure_domain() == domain, hashBytes (peer.name(), hash) });

    std::ranges::sort (heirs, {}, [] (const Heir& heir) { return std::pair (heir.sameDomain, ~heir.value); });
    heirs.resize (std::min (heirs.size(), mostHeirs));
    std::vector<const schema::Peer*> peers;
    peers.reserve (heirs.size());

    for (const auto& heir : heirs)
        peers.push_back (heir.peer);

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
