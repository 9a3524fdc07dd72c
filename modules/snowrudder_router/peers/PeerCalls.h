#pragma once

#include "../state/RouterState.h"

#include "snowrudder_net/snowrudder_net.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** Signs a request to a peer. The signature covers the method, the target, the caller's key and the body. */
auto signRequest (const RouterState& state, HttpRequest& request) -> void;

/** @returns the name of the peer that signed a request; nothing if there is no valid signature. */
auto signingPeer (const RouterState& state, const HttpRequest& request) -> std::optional<std::string>;

/** @returns the peer with a given name, or nullptr. */
auto findPeer (const RouterState& state, std::string_view name) -> const schema::Peer*;

/** Maximum number of routers that a request may be handed over to, and that are queried for its record after the router
    that accepted it.
*/
inline constexpr auto maxSuccessors = std::size_t { 8 };

/** @returns the peers that a request may be handed over to, at most `maxSuccessors`, in order. Peers in other failure
    domains than that of the router that accepted the request come first; each of the two groups is ordered by rendezvous
    hashing of the request. All routers compute the same order, and a successor that leaves later uses it too, so that a
    router that searches for a record finds it.
*/
auto successorsOf (const RouterState& state, const RequestId& request) -> std::vector<const schema::Peer*>;

/** Makes a signed call to a peer and reads the whole response. */
auto callPeer (const RouterState& state,
               Worker& worker,
               const std::string& endpoint,
               HttpRequest request,
               CallTimeouts timeouts) -> Task<SimpleResponse>;

} // namespace snowrudder
