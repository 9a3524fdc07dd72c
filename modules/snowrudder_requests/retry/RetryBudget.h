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
inline constexpr auto usualSavedRetries = 10.0;

/** Adds a request's share.

    @param percent    retries allowed for each 100 requests
    @param mostSaved  retries that can be saved up
*/
inline auto earnRetry (RetryBudget& budget, double percent, double mostSaved = usualSavedRetries) -> void
{
    constexpr auto whole = 100.0;
    budget.left = std::min (mostSaved, budget.left + percent / whole);
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
    /** @param mostSaved  retries that can be saved up for an account and service */
    auto setMostSaved (double mostSaved) -> void
    {
        const std::lock_guard lock (mutex);
        saved = mostSaved;
    }

    auto earn (const std::string& account, const std::string& service, double percent) -> void
    {
        const std::lock_guard lock (mutex);
        earnRetry (budgets[account + "|" + service], percent, saved);
    }

    auto take (const std::string& account, const std::string& service) -> bool
    {
        const std::lock_guard lock (mutex);
        return takeRetry (budgets[account + "|" + service]);
    }

private:
    std::mutex mutex;
    double saved = usualSavedRetries;
    std::map<std::string, RetryBudget> budgets;
};

} // namespace snowrudder
