#include "AdminResponses.h"

namespace snowrudder
{

namespace json = boost::json;

auto settingsPath (const Exchange& exchange) -> TreePath
{
    return parseTreePath (exchange.path().substr (settingsPrefix.size()));
}

auto respondJsonBody (Exchange& exchange, http::status status, json::value body) -> Task<void>
{
    co_await exchange.respond (status, "application/json", prettyJson (body));
}

auto respondProblem (Exchange& exchange, const Problem& problem, const json::object& extra) -> Task<void>
{
    const std::string noRequest;
    co_await exchange.respond (problemResponse (problem, noRequest, extra));
}

auto changesJson (const std::vector<TreeChange>& changes) -> json::array
{
    json::array list;

    for (const auto& change : changes)
    {
        json::object entry;
        entry["path"] = change.path;
        entry["before"] = change.before;
        entry["after"] = change.after;
        list.push_back (std::move (entry));
    }

    return list;
}

auto errorsJson (const SettingsErrors& errors) -> json::array
{
    json::array list;

    for (const auto& error : errors)
        list.emplace_back (toString (error));

    return list;
}

} // namespace snowrudder
