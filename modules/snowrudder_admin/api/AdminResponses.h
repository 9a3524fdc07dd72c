#pragma once

#include "snowrudder_net/snowrudder_net.h"
#include "snowrudder_settings/snowrudder_settings.h"

#include <boost/json.hpp>

#include <vector>

namespace snowrudder
{

/** Path below which the tree stands. */
inline constexpr auto settingsPrefix = std::string_view ("/v1/settings");

/** @returns the tree's path in a request's target. */
auto settingsPath (const Exchange& exchange) -> TreePath;

/** Answers with JSON. */
auto respondJsonBody (Exchange& exchange, http::status status, boost::json::value body) -> Task<void>;

/** Answers with a problem.

    @param extra  members beside the usual ones
*/
auto respondProblem (Exchange& exchange, const Problem& problem, const boost::json::object& extra = {})
    -> Task<void>;

auto changesJson (const std::vector<TreeChange>& changes) -> boost::json::array;
auto errorsJson (const SettingsErrors& errors) -> boost::json::array;

} // namespace snowrudder
