#pragma once

#include "../api/AdminState.h"
#include "../store/EditProcedure.h"
#include "AcceptanceRule.h"

#include "node_messages.pb.h"

#include <vector>

namespace snowrudder
{

/** Gives a revision to all routers at once, and again to those that did not answer, until it may be called accepted.

    @param longest  gives up after this long
    @returns        what each router held last, in the order of the settings
*/
auto distributeRevision (AdminState& state, const StoredTree& tree, Duration timeout)
    -> Task<std::vector<RouterRevision>>;

/** A router's answer to a question for its state. */
struct RouterStatusResponse
{
    std::string name;
    std::string failureDomain;
    /** Whether it answered. */
    bool reached = false;
    schema::RouterStatus status;
};

/** Asks all routers for their state at once. */
auto queryRouters (AdminState& state) -> Task<std::vector<RouterStatusResponse>>;

} // namespace snowrudder
