#pragma once

#include "TreeEdit.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** The effective value of one policy field of a client account, and the tree level that sets it. */
struct EffectiveValue
{
    /** The field's name in AccountPolicy. */
    std::string field;
    boost::json::value value;
    /** Path of the policy that sets the value, such as `accounts/city/policy`; `default` if none does. */
    std::string sourcePath;
};

/** Computes the effective policy of a client account, from the top of the tree down to the account.

    @param tree     the settings tree
    @param account  the account's path: `accounts/city/accounts/press` or `city/press`
    @returns        one entry for each policy field, or nothing if the account does not exist
*/
auto effectivePolicy (const boost::json::value& tree, const TreePath& account)
    -> std::optional<std::vector<EffectiveValue>>;

} // namespace snowrudder
