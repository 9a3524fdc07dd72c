/** @file
    snowrudder_settings: reads settings, validates them against the schema, and provides lookups in them.

    - reading/  reads JSON with comments into a protobuf message; validates each field; errors carry file, line and path
    - edit/     edits of the settings tree, differences between trees, the origin of effective values
    - tree/     the settings tree: inheritance between client accounts, lookups by key, model and name

    Depends on: snowrudder_core, snowrudder_schema, Boost.JSON, Protobuf.
*/
#pragma once

#include "edit/EffectivePolicy.h"
#include "edit/TreeEdit.h"
#include "reading/LineIndex.h"
#include "reading/MessageReader.h"
#include "reading/ProcessSettings.h"
#include "reading/SettingsError.h"
#include "tree/FleetView.h"
#include "tree/TreeCheck.h"
