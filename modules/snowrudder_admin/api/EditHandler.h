#pragma once

#include "../store/EditProcedure.h"
#include "AdminState.h"

namespace snowrudder
{

/** Handles `PUT`, `PATCH` and `DELETE /v1/settings/PATH`.

    `If-Match` gives the revision that the edit is based on. `Snowrudder-Edit-Id`, a name chosen by the operator, makes
    retries idempotent. `accepted: true` means that the edit takes effect on all routers within 13 s and is never
    reverted.

    @param author  the operator's name
*/
auto handleEdit (AdminState& state, Exchange& exchange, const std::string& author) -> Task<void>;

/** Performs the calls of a procedure until it has a result. */
auto runProcedure (AdminState& state, EditProcedure& procedure) -> Task<void>;

} // namespace snowrudder
