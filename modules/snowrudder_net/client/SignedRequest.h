#pragma once

#include "../concurrency/AsioNames.h"

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Set on what one node asks of another; see signMessage(). */
inline constexpr auto nodeHeader = std::string_view ("Snowrudder-Node");

/** Where nodes compare and hand on the operators' tree, and tell their state. */
inline constexpr auto treeTarget = std::string_view ("/internal/tree");
inline constexpr auto statusTarget = std::string_view ("/internal/status");

/** Signs a request to another node. Method, target, the caller's key and the body are covered.

    @param secret  the fleet's
    @param name    of the signing node
*/
auto signRequest (std::string_view secret, std::string_view name, HttpRequest& request) -> void;

/** @returns the node that signed a request not long ago, or nothing. */
auto verifiedSigner (std::string_view secret, const HttpRequest& request) -> std::optional<std::string>;

} // namespace snowrudder
