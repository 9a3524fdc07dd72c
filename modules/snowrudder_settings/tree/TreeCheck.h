#pragma once

#include "../reading/SettingsError.h"

#include "fleet_settings.pb.h"

#include <string_view>

namespace snowrudder
{

/** Validates the rules that span several fields: referenced services exist, each key belongs to one client account, and
    each model name to one service. Also checks the form of key hashes.

    @param file  the file name for errors
*/
auto checkTree (const schema::FleetSettings& tree, std::string_view file) -> SettingsErrors;

} // namespace snowrudder
