#pragma once

#include "../api/AdminState.h"
#include "../store/EditProcedure.h"
#include "AcceptRule.h"

#include "node_messages.pb.h"

#include <vector>

namespace snowrudder
{

/** Sends a revision to all routers in parallel, and repeats this until the revision is accepted or time is up.

    @param timeout  gives up after the first round that ends later than this
    @returns        the last known revision of each router, in the order of the settings
*/
auto distributeRevision (AdminState& state, const StoredTree& tree, Duration timeout)
    -> Task<std::vector<RouterRevision>>;

/** A router's response to a status query. */
struct RouterStatusResponse
{
    std::string name;
    std::string failureDomain;
    /** Whether the router responded. */
    bool reached = false;
    schema::RouterStatus status;
};

/** Queries the status of all routers in parallel. */
auto queryRouters (AdminState& state) -> Task<std::vector<RouterStatusResponse>>;

} // namespace snowrudder
