/** @file
    snowrudder_admin: the administration API, which operators use to read and edit the settings tree.

    - store/   stores edits by compare-and-swap, resolves lost responses, keeps the history
    - spread/  distributes a revision to the routers and decides when it is accepted
    - api/     the HTTP interface

    Depends on: snowrudder_core, snowrudder_net, snowrudder_platform, snowrudder_settings, snowrudder_schema.
*/
#pragma once

#include "api/AdminHandler.h"
#include "api/AdminState.h"
#include "spread/AcceptRule.h"
#include "store/EditProcedure.h"
