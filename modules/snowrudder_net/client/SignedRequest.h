#pragma once

#include "../concurrency/AsioNames.h"

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** The header that carries the signature of a request from one node to another; see signMessage(). */
inline constexpr auto nodeHeader = std::string_view ("Snowrudder-Node");

/** Paths at which nodes compare and exchange the tree of the operators' settings, and report their status. */
inline constexpr auto treeTarget = std::string_view ("/internal/tree");
inline constexpr auto statusTarget = std::string_view ("/internal/status");

/** Signs a request to another node. The signature covers the method, the target, the `Authorization` and
    `Idempotency-Key` headers and the body.

    @param secret  the secret that the nodes of the fleet share
    @param name    the name of the signing node
*/
auto signRequest (std::string_view secret, std::string_view name, HttpRequest& request) -> void;

/** @returns the name of the node that signed a request, or nothing when the signature is missing, invalid or more than
    30 s off the wall time.
*/
auto verifiedSigner (std::string_view secret, const HttpRequest& request) -> std::optional<std::string>;

} // namespace snowrudder
