#include "FleetView.h"

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

auto makeAccountView (const schema::AccountPolicy& policy, const std::string& name) -> AccountView
{
    AccountView view;
    view.name = name;
    view.services.insert (policy.services().begin(), policy.services().end());
    view.requestsPerSecond =
        policy.has_requests_per_second() ? policy.requests_per_second() : PolicyDefaults::requestsPerSecond;
    view.concurrentRequests =
        policy.has_concurrent_requests() ? policy.concurrent_requests() : PolicyDefaults::concurrentRequests;
    view.weight = policy.has_weight() ? policy.weight() : PolicyDefaults::weight;
    view.priority = policy.has_priority() ? policy.priority() : PolicyDefaults::priority;
    view.retryPercent = policy.has_retry_percent() ? policy.retry_percent() : PolicyDefaults::retryPercent;
    view.deadline = policy.has_deadline_milliseconds()
                        ? std::chrono::milliseconds (policy.deadline_milliseconds())
                        : PolicyDefaults::deadline;
    return view;
}

template <typename Map>
auto findOrNull (const Map& map, std::string_view name) -> typename Map::mapped_type
{
    const auto found = map.find (name);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

FleetView::FleetView (const schema::FleetSettings& tree, std::uint64_t revision) : treeRevision (revision)
{
    for (const auto& [name, service] : tree.services())
    {
        const auto view = std::make_shared<const ServiceView> (ServiceView {
            name, service.kind(), { service.models().begin(), service.models().end() }, service });
        servicesByName.emplace (name, view);

        for (const auto& model : service.models())
            servicesByModel.emplace (model, view);
    }

    for (const auto& [name, account] : tree.accounts())
        addAccount (account, name, tree.policy());
}

auto FleetView::addAccount (const schema::Account& account,
                            const std::string& name,
                            schema::AccountPolicy inherited) -> void
{
    const auto policy = overridePolicy (std::move (inherited), account.policy());
    const auto view = std::make_shared<const AccountView> (makeAccountView (policy, name));

    accountsByName.emplace (name, view);

    for (const auto& key : account.keys())
        accountsByKey.emplace (key.sha256(), view);

    for (const auto& [childName, child] : account.accounts())
        addAccount (child, std::string (name).append ("/").append (childName), policy);
}

auto FleetView::accountForKey (std::string_view key) const -> std::shared_ptr<const AccountView>
{
    const auto found = accountsByKey.find (sha256Hex (key));
    return found == accountsByKey.end() ? nullptr : found->second;
}

auto FleetView::accountNamed (std::string_view name) const -> std::shared_ptr<const AccountView>
{
    return findOrNull (accountsByName, name);
}

auto FleetView::serviceForModel (std::string_view model) const -> std::shared_ptr<const ServiceView>
{
    return findOrNull (servicesByModel, model);
}

auto FleetView::service (std::string_view name) const -> std::shared_ptr<const ServiceView>
{
    return findOrNull (servicesByName, name);
}

auto overridePolicy (schema::AccountPolicy inherited, const schema::AccountPolicy& own)
    -> schema::AccountPolicy
{
    if (own.services_size() > 0)
        inherited.clear_services();

    inherited.MergeFrom (own);
    return inherited;
}

auto isRepeatable (const schema::Service& service, std::string_view method, std::string_view path) -> bool
{
    for (const auto& rule : service.repeat_rules())
    {
        const auto methodMatches =
            rule.methods().empty() || std::ranges::find (rule.methods(), method) != rule.methods().end();

        if (methodMatches && path.starts_with (rule.path_prefix()))
            return rule.repeatable();
    }

    return method == "GET" || method == "HEAD";
}

} // namespace snowrudder
