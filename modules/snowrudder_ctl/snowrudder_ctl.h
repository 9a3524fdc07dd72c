/** @file
    snowrudder_ctl: the command-line client of the administration API for operators.

    - command/  the commands: each calls the API and prints the response as text or JSON

    Depends on: snowrudder_core, snowrudder_net, snowrudder_settings.
*/
#pragma once

#include "command/AdminClient.h"
#include "command/Commands.h"
