#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** A node's request to another one to connect to a replica and to relay the bytes of the connection. */
struct RelayRequest
{
    std::string replica;
    /** IP-NUMBER:PORT of the replica, for a node that doesn't list it. */
    std::string endpoint;
    /** When the relayed connection ends, counted from the request. */
    std::chrono::milliseconds timeLeft {};
};

/** Responses to a RelayRequest. */
inline constexpr auto relayConnected = http::status::ok;
/** The replica refuses the node that was asked, which reaches another one. */
inline constexpr auto relayReplicaUnreachable = http::status::bad_gateway;
/** The node that was asked could not connect to the replica, and has not verified that its own paths are open. */
inline constexpr auto relayUnverified = http::status::gateway_timeout;
inline constexpr auto relayReplicaLeaving = http::status::gone;
/** The replica asked the node that was asked for rest, and would take the request for one of that node. */
inline constexpr auto relayReplicaResting = http::status::too_many_requests;
inline constexpr auto relayUnavailable = http::status::service_unavailable;
inline constexpr auto relayUnauthorized = http::status::unauthorized;

/** @returns the request as a signed message.

    @param secret  the secret that the nodes of the fleet share
    @param node    the name of the signing node
*/
auto encodeRelayRequest (const RelayRequest& request, std::string_view secret, std::string_view node)
    -> HttpRequest;

/** @returns the request in a message, or nothing if the message is malformed. Its signature is not checked. */
auto decodeRelayRequest (const HttpRequest& message) -> std::optional<RelayRequest>;

} // namespace snowrudder
