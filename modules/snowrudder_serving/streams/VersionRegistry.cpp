#include "VersionRegistry.h"

#include <boost/json.hpp>

namespace snowrudder
{

namespace json = boost::json;

auto formatVersions (const VersionsByService& versions) -> std::string
{
    json::object object;

    for (const auto& [service, names] : versions)
    {
        json::array list;

        for (const auto& name : names)
            list.emplace_back (name);

        object[service] = std::move (list);
    }

    return json::serialize (object);
}

auto parseVersions (const std::string& text) -> std::optional<VersionsByService>
{
    boost::system::error_code error;
    const auto value = json::parse (text, error);

    if (error || ! value.is_object())
        return {};

    VersionsByService versions;

    for (const auto& member : value.get_object())
    {
        if (! member.value().is_array())
            return {};

        auto& names = versions[std::string (member.key())];

        for (const auto& name : member.value().get_array())
        {
            if (! name.is_string())
                return {};

            names.emplace (name.get_string());
        }
    }

    return versions;
}

} // namespace snowrudder
