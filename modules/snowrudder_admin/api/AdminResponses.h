#pragma once

#include "snowrudder_net/snowrudder_net.h"
#include "snowrudder_settings/snowrudder_settings.h"

#include <boost/json.hpp>

#include <vector>

namespace snowrudder
{

/** Path prefix of the settings tree in request targets. */
inline constexpr auto settingsPrefix = std::string_view ("/v1/settings");

/** @returns the path in the settings tree that a request's target refers to. */
auto settingsPath (const Exchange& exchange) -> TreePath;

/** Responds with a JSON body. */
auto respondJsonBody (Exchange& exchange, http::status status, boost::json::value body) -> Task<void>;

/** Responds with a problem.

    @param extra  members added to the standard ones
*/
auto respondProblem (Exchange& exchange, const Problem& problem, const boost::json::object& extra = {})
    -> Task<void>;

auto changesJson (const std::vector<TreeChange>& changes) -> boost::json::array;
auto errorsJson (const SettingsErrors& errors) -> boost::json::array;

} // namespace snowrudder
