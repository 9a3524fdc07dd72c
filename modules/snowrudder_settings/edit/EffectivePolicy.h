#pragma once

#include "TreeEdit.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** One value that holds for a client account, and the level of the tree that gives it. */
struct EffectiveValue
{
    /** Of AccountPolicy. */
    std::string field;
    boost::json::value value;
    /** The level's path, such as `accounts/city/policy`; `default` where no level gives it. */
    std::string sourcePath;
};

/** Works out what holds for a client account, level by level.

    @param tree     the operators' tree
    @param account  its path: `accounts/city/accounts/press`, or `city/press`
    @returns        the values, or nothing when there is no such account
*/
auto effectivePolicy (const boost::json::value& tree, const TreePath& account)
    -> std::optional<std::vector<EffectiveValue>>;

} // namespace snowrudder
