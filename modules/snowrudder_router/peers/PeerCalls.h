#pragma once

#include "../state/RouterState.h"

#include "snowrudder_net/snowrudder_net.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** Signs a request to a peer. Method, target, the caller's key and the body are covered. */
auto signRequest (const RouterState& state, HttpRequest& request) -> void;

/** @returns the peer that signed a request, or nothing. */
auto signingPeer (const RouterState& state, const HttpRequest& request) -> std::optional<std::string>;

/** @returns the peer of a name, or nullptr. */
auto findPeer (const RouterState& state, std::string_view name) -> const schema::Peer*;

/** Routers to which a request may be handed over, and which are asked for it, behind the one that accepted it. */
inline constexpr auto mostHeirs = std::size_t { 8 };

/** @returns peers in the order in which they inherit a request: those in other failure domains than the router that
    accepted it first, each group by its rendezvous value for the request. All routers get the same order, and an heir
    that leaves in its turn goes on in it, so that a router that looks for a record finds it. At most `mostHeirs`.
*/
auto heirsOf (const RouterState& state, const RequestId& request) -> std::vector<const schema::Peer*>;

/** Makes one signed call and reads its whole answer. */
auto callPeer (const RouterState& state,
               Worker& worker,
               const std::string& endpoint,
               HttpRequest request,
               CallTimeouts timeouts) -> Task<SimpleResponse>;

} // namespace snowrudder
