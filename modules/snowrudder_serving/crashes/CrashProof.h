#pragma once

#include "snowrudder_net/client/ProbeEndpoint.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <string_view>

namespace snowrudder
{

/** @returns what proves that a replica crashed whose connection ended under a request, a word for the log; empty where nothing does.

    An entry that is gone proves nothing by itself: all entries lapse while the store is away, one where its replica can't reach the
    store, and some replicas leave without a word before. A replica that lives keeps its connections open; at the address of one that
    crashed nothing listens, or another one has started.

    @param address  what the address does now; `accepts` where it was not asked
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
