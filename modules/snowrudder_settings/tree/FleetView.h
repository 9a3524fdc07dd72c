#pragma once

#include "fleet_settings.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snowrudder
{

/** A client account's effective policy, with inheritance resolved. */
struct AccountView
{
    /** Account names from the top level down, joined by '/', such as `city/control-desk`. */
    std::string name;
    std::set<std::string, std::less<>> services;
    double requestsPerSecond = 0.0;
    std::uint32_t concurrentRequests = 0;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
    double retryPercent = 0.0;
    std::chrono::milliseconds deadline {};
};

/** A service's settings. */
struct ServiceView
{
    std::string name;
    schema::ServiceKind kind = schema::MODEL;
    std::vector<std::string> models;
    schema::Service settings;
};

/** Policy values used if no level of the tree sets them. */
struct PolicyDefaults
{
    static constexpr auto requestsPerSecond = 1000.0;
    static constexpr auto concurrentRequests = std::uint32_t { 1000 };
    static constexpr auto weight = std::uint32_t { 1 };
    static constexpr auto priority = std::uint32_t { 5 };
    static constexpr auto retryPercent = 10.0;
    static constexpr auto deadline = std::chrono::milliseconds (120'000);
};

/** Immutable lookup tables built from one revision of the settings tree. Each new revision gets a new view. */
class FleetView
{
public:
    FleetView() = default;

    /** @param tree      a tree that has passed readMessage() and checkTree()
        @param revision  the version of the tree in the platform's key-value service
    */
    FleetView (const schema::FleetSettings& tree, std::uint64_t revision);

    [[nodiscard]] auto revision() const -> std::uint64_t { return treeRevision; }

    /** @returns the client account that a bearer key belongs to, or nullptr. */
    [[nodiscard]] auto accountForKey (std::string_view key) const -> std::shared_ptr<const AccountView>;

    /** @returns the client account with a name in the form of AccountView::name, or nullptr. */
    [[nodiscard]] auto accountNamed (std::string_view name) const -> std::shared_ptr<const AccountView>;

    /** @returns the service that offers a model, or nullptr. */
    [[nodiscard]] auto serviceForModel (std::string_view model) const -> std::shared_ptr<const ServiceView>;

    /** @returns the service with a name, or nullptr. */
    [[nodiscard]] auto service (std::string_view name) const -> std::shared_ptr<const ServiceView>;

    [[nodiscard]] auto services() const
        -> const std::map<std::string, std::shared_ptr<const ServiceView>, std::less<>>&
    {
        return servicesByName;
    }

private:
    auto addAccount (const schema::Account& account, const std::string& name, schema::AccountPolicy inherited)
        -> void;

    std::uint64_t treeRevision = 0;
    std::unordered_map<std::string, std::shared_ptr<const AccountView>> accountsByKey;
    std::map<std::string, std::shared_ptr<const AccountView>, std::less<>> accountsByName;
    std::map<std::string, std::shared_ptr<const ServiceView>, std::less<>> servicesByModel;
    std::map<std::string, std::shared_ptr<const ServiceView>, std::less<>> servicesByName;
};

/** @returns the inherited policy overridden by the values that a level sets. A non-empty list of services replaces the
    inherited list.
*/
auto overridePolicy (schema::AccountPolicy inherited, const schema::AccountPolicy& own)
    -> schema::AccountPolicy;

/** @returns whether a call to a plain service may be executed more than once. The first matching rule decides; without
    one only GET and HEAD are repeatable.

    @param path  the part after /services/NAME, including its leading '/'
*/
auto isRepeatable (const schema::Service& service, std::string_view method, std::string_view path) -> bool;

} // namespace snowrudder
