#pragma once

#include "../node/ServingState.h"
#include "RelayRequest.h"

#include <memory>
#include <string>

namespace snowrudder
{

/** Connects to replicas for nodes that have lost their paths to them, and relays the bytes of each connection unchanged in
    both directions. It never connects through a third node.

    The node that asks keeps everything that concerns the request: its deadline, attempts, limits, and what it learns of
    the replica. The end of a connection is passed on as what it was: a close as a close, a reset as a reset. The end of
    this process is a reset.
*/
class ConnectionRelay : public std::enable_shared_from_this<ConnectionRelay>
{
public:
    explicit ConnectionRelay (ServingState& servingState);

    /** Starts to accept connections of other nodes.

        @returns an error if the address can't be bound
    */
    auto listen (const tcp::endpoint& endpoint) -> std::error_code;

private:
    struct Relayed;

    auto acceptLoop() -> Task<void>;
    auto serve (tcp::socket socket) -> Task<void>;
    auto readRequest (Relayed& relayed) -> Task<std::optional<RelayRequest>>;
    /** Connects to the replica.

        @returns the status to respond with
    */
    auto connect (Relayed& relayed, const RelayRequest& request) -> Task<http::status>;
    /** Relays bytes in one direction until the connection ends. */
    auto copy (Relayed& relayed, bool isFromReplica) -> Task<void>;
    /** @returns why this node relays no connection now, for the log; empty if it does. */
    [[nodiscard]] auto refusalReason() const -> std::string_view;

    ServingState& state;
    tcp::acceptor acceptor;
    Watchdog watchdog;
};

} // namespace snowrudder
