#pragma once

#include "snowrudder_net/client/ProbeEndpoint.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <string_view>

namespace snowrudder
{

/** @returns the proof that a replica crashed, as a value for the log, after its connection ended during a request;
    empty if there is none.

    An expired directory entry is no proof by itself: all entries expire while the store is unavailable, a single one
    expires if its replica can't reach the store, and some replicas shut down without announcing it. A live replica
    keeps its connections open; at the address of a crashed one nothing listens, or another replica has started.

    @param address  result of probing the address; `accepts` if it was not probed
*/
constexpr auto crashProof (ReplicaListing listing, EndpointState address) -> std::string_view
{
    switch (listing)
    {
        case ReplicaListing::leaving:
            return {};
        case ReplicaListing::replaced:
            return "address_taken_over";
        case ReplicaListing::listed:
            return address == EndpointState::refuses ? "connection_refused" : std::string_view();
        case ReplicaListing::unlisted:
            break;
    }

    const auto isDown = address == EndpointState::refuses || address == EndpointState::closes;
    return isDown ? "entry_gone" : std::string_view();
}

} // namespace snowrudder
