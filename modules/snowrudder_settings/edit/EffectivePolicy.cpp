#include "EffectivePolicy.h"

#include "../tree/FleetView.h"

#include <algorithm>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto accountsMember = "accounts";
constexpr auto policyMember = "policy";

/** @returns the account names in a path of either form: `city/press` or `accounts/city/accounts/press`. */
auto accountNames (const TreePath& path) -> TreePath
{
    TreePath names;
    const auto hasLevelNames = ! path.empty() && path.front() == accountsMember && path.size() % 2 == 0;

    for (auto index = std::size_t { hasLevelNames ? 1U : 0U }; index < path.size();
         index += hasLevelNames ? 2 : 1)
        names.push_back (path[index]);

    return names;
}

auto defaultValues() -> std::vector<EffectiveValue>
{
    constexpr auto origin = "default";
    return { { "services", json::array(), origin },
             { "requests_per_second", PolicyDefaults::requestsPerSecond, origin },
             { "concurrent_requests", PolicyDefaults::concurrentRequests, origin },
             { "weight", PolicyDefaults::weight, origin },
             { "priority", PolicyDefaults::priority, origin },
             { "retry_percent", PolicyDefaults::retryPercent, origin },
             { "deadline_milliseconds", PolicyDefaults::deadline.count(), origin } };
}

/** Overrides inherited values with those that a level's policy sets. */
auto applyOverrides (std::vector<EffectiveValue>& values, const json::value& level, const std::string& path)
    -> void
{
    const auto* policy = valueAt (level, { policyMember });

    if (policy == nullptr || ! policy->is_object())
        return;

    for (auto& entry : values)
    {
        const auto* own = policy->get_object().if_contains (entry.field);

        // An empty list of services doesn't override the inherited one; see overridePolicy().
        if (own == nullptr || (own->is_array() && own->get_array().empty()))
            continue;

        entry.value = *own;
        entry.sourcePath = path.empty() ? policyMember : path + "/" + policyMember;
    }
}

} // namespace

auto effectivePolicy (const json::value& tree, const TreePath& account)
    -> std::optional<std::vector<EffectiveValue>>
{
    const auto names = accountNames (account);

    if (names.empty())
        return {};

    auto values = defaultValues();
    applyOverrides (values, tree, "");
    const auto* level = &tree;
    std::string path;

    for (const auto& name : names)
    {
        level = valueAt (*level, { accountsMember, name });

        if (level == nullptr)
            return {};

        path += (path.empty() ? "" : "/") + std::string (accountsMember) + "/" + name;
        applyOverrides (values, *level, path);
    }

    return values;
}

} // namespace snowrudder
