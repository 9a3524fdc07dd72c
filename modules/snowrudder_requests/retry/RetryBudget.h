#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>

namespace snowrudder
{

/** Retries that requests have earned: each request adds a share of one, each retry takes one. */
struct RetryBudget
{
    double left = 1.0;
};

/** Most retries saved up, where nothing else is set. */
inline constexpr auto defaultMaxSavedRetries = 10.0;

/** Adds a request's share.

    @param percent    retries allowed for each 100 requests
    @param maxSaved  retries that can be saved up
*/
inline auto earnRetry (RetryBudget& budget, double percent, double maxSaved = defaultMaxSavedRetries) -> void
{
    constexpr auto whole = 100.0;
    budget.left = std::min (maxSaved, budget.left + percent / whole);
}

/** Takes a retry if one is there. */
inline auto takeRetry (RetryBudget& budget) -> bool
{
    if (budget.left < 1.0)
        return false;

    budget.left -= 1.0;
    return true;
}

/** The budgets of all client accounts and services. Any thread may call it; one mutex guards it. */
class RetryBudgets
{
public:
    /** Sets how many retries can be saved up for an account and service. As many are there from the first setting on: when a node has
        just started, others may have as well, and more than usual fails.
    */
    auto setMaxSaved (double maxSaved) -> void
    {
        const std::lock_guard lock (mutex);

        if (! isSet)
            for (auto& [name, budget] : budgets)
                budget.left = std::max (budget.left, maxSaved - RetryBudget().left + budget.left);

        isSet = true;
        saved = maxSaved;
    }

    auto earn (const std::string& account, const std::string& service, double percent) -> void
    {
        const std::lock_guard lock (mutex);
        earnRetry (budgetOf (account, service), percent, saved);
    }

    auto take (const std::string& account, const std::string& service) -> bool
    {
        const std::lock_guard lock (mutex);
        return takeRetry (budgetOf (account, service));
    }

    /** Gives a retry back that was taken and not needed. */
    auto giveBack (const std::string& account, const std::string& service) -> void
    {
        const std::lock_guard lock (mutex);
        auto& budget = budgetOf (account, service);
        budget.left = std::min (saved, budget.left + 1.0);
    }

private:
    auto budgetOf (const std::string& account, const std::string& service) -> RetryBudget&
    {
        const auto start = isSet ? RetryBudget { saved } : RetryBudget();
        return budgets.try_emplace (account + "|" + service, start).first->second;
    }

    std::mutex mutex;
    /** Whether setMaxSaved() was called: before, a node does not know its part. */
    bool isSet = false;
    double saved = defaultMaxSavedRetries;
    std::map<std::string, RetryBudget> budgets;
};

} // namespace snowrudder
