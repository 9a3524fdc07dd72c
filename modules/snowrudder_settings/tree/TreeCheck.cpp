#include "TreeCheck.h"

#include "../reading/LineIndex.h"

#include <map>
#include <string>

namespace snowrudder
{

namespace
{

constexpr auto sha256Digits = std::size_t { 64 };

/** Validates one tree and collects the errors. */
class TreeValidator
{
public:
    TreeValidator (const schema::FleetSettings& fleetSettings, std::string_view fileName)
        : tree (fleetSettings), file (fileName)
    {
    }

    auto run() -> SettingsErrors
    {
        checkModels();
        checkPolicy (tree.policy(), "policy");

        for (const auto& [name, account] : tree.accounts())
            checkAccount (account, memberPath ("accounts", name));

        return std::move (errors);
    }

private:
    auto addError (const std::string& path, const std::string& message) -> void
    {
        errors.push_back ({ file, 0, path, message });
    }

    auto checkModels() -> void
    {
        std::map<std::string, std::string> owners;

        for (const auto& [name, service] : tree.services())
            for (const auto& model : service.models())
                if (const auto [owner, isNew] = owners.emplace (model, name); ! isNew)
                    addError (memberPath ("services", name) + ".models",
                              "\"" + model + "\" is offered by service \"" + owner->second + "\" too");
    }

    auto checkPolicy (const schema::AccountPolicy& policy, const std::string& path) -> void
    {
        for (const auto& service : policy.services())
            if (! tree.services().contains (service))
                addError (path + ".services", "names \"" + service + "\", which is not among the services");
    }

    auto checkAccount (const schema::Account& account, const std::string& path) -> void
    {
        checkPolicy (account.policy(), path + ".policy");

        for (const auto& key : account.keys())
        {
            if (key.sha256().size() != sha256Digits ||
                key.sha256().find_first_not_of ("0123456789abcdef") != std::string::npos)
                addError (path + ".keys", "sha256 must be 64 of 0-9 and a-f");

            if (const auto [owner, isNew] = keyOwners.emplace (key.sha256(), path); ! isNew)
                addError (path + ".keys", "a key stands at \"" + owner->second + "\" too");
        }

        for (const auto& [name, child] : account.accounts())
            checkAccount (child, memberPath (path + ".accounts", name));
    }

    const schema::FleetSettings& tree;
    std::string file;
    SettingsErrors errors;
    std::map<std::string, std::string> keyOwners;
};

} // namespace

auto checkTree (const schema::FleetSettings& tree, std::string_view file) -> SettingsErrors
{
    return TreeValidator (tree, file).run();
}

} // namespace snowrudder
