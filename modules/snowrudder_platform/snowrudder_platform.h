/** @file
    snowrudder_platform: the client of the platform's service (key-value store, leases, VM list).

    - client/  typed calls, counted by purpose; a write whose response was lost is reported as such

    Depends on: snowrudder_core, snowrudder_net, Boost.JSON.
*/
#pragma once

#include "client/PlatformClient.h"
#include "client/VmList.h"
