#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>

namespace snowrudder
{

/** Retry budget: each request adds a fraction of a retry, each retry takes a whole one. */
struct RetryBudget
{
    /** Retries available. */
    double left = 1.0;
};

/** Default limit of accumulated retries. */
inline constexpr auto defaultMaxSavedRetries = 10.0;

/** Adds the share of one request.

    @param percent   retries allowed per 100 requests
    @param maxSaved  limit of accumulated retries
*/
inline auto earnRetry (RetryBudget& budget, double percent, double maxSaved = defaultMaxSavedRetries) -> void
{
    constexpr auto percentBase = 100.0;
    budget.left = std::min (maxSaved, budget.left + percent / percentBase);
}

/** Takes a retry if one is available.

    @returns whether one was taken
*/
inline auto takeRetry (RetryBudget& budget) -> bool
{
    if (budget.left < 1.0)
        return false;

    budget.left -= 1.0;
    return true;
}

/** The retry budgets of all client accounts and services. Thread-safe; one mutex guards it. */
class RetryBudgets
{
public:
    /** Sets the limit of accumulated retries for each account and service. The first call fills the budgets up to the
        limit: when a node has just started, other nodes may have started too, and more attempts fail than usual.
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

    /** Adds the share of one request; see earnRetry(). */
    auto earn (const std::string& account, const std::string& service, double percent) -> void
    {
        const std::lock_guard lock (mutex);
        earnRetry (budgetOf (account, service), percent, saved);
    }

    /** Takes a retry if one is available.

        @returns whether one was taken
    */
    auto take (const std::string& account, const std::string& service) -> bool
    {
        const std::lock_guard lock (mutex);
        return takeRetry (budgetOf (account, service));
    }

    /** Returns a retry that was taken and not used. */
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
    /** Whether setMaxSaved() was called: until then the node does not know its share of the fleet's retries. */
    bool isSet = false;
    double saved = defaultMaxSavedRetries;
    std::map<std::string, RetryBudget> budgets;
};

} // namespace snowrudder
