/** @file
    snowrudder_admin: the administration API, through which operators read and edit the settings tree.

    - store/   storing an edit by compare-and-swap, its fate after lost answers, the history
    - spread/  giving a revision to the routers, and when it may be called accepted
    - api/     the HTTP face

    Depends on: snowrudder_core, snowrudder_net, snowrudder_platform, snowrudder_settings, snowrudder_schema.
*/
#pragma once

#include "api/AdminHandler.h"
#include "api/AdminState.h"
#include "spread/AcceptanceRule.h"
#include "store/EditProcedure.h"
