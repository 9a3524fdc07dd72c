#pragma once

#include "../configuration/RoutingConfiguration.h"

#include "snowrudder_limits/snowrudder_limits.h"

#include <map>
#include <string>

namespace snowrudder
{

/** How this node's part of a limit over all nodes follows from what it knows. */
struct QuotaPart
{
    /** Nodes that share the limit, this one included. */
    std::size_t nodes = 1;
    /** Tokens a second that the other nodes were asked for lately, all together. */
    double othersDemand = 0.0;
    /** Tokens by which all nodes together may go over the limit. */
    double slack = 0.0;
};

/** The limits of client accounts, in tokens a second over all nodes, without a call for each request. A node's part
    follows its part of the demand, so that refusals inside the limit stay rare when callers are spread unevenly; a node
    that hears of nobody else's demand takes an even part.
*/
class SharedQuota
{
public:
    /** Counts a request in when this node's part of its account's limit allows it.

        @param tokens  of prompt and answer together
    */
    auto admit (const RoutedAccount& account, double tokens, const QuotaPart& part, TimePoint now) -> Admission;

    /** @returns tokens a second that this node was asked for lately. */
    [[nodiscard]] auto demand (const std::string& account, TimePoint now) const -> double;

    /** Calls visit (account, tokensPerSecond) for each account that asked lately. */
    template <typename Visitor>
    auto forEachDemand (TimePoint now, Visitor&& visit) const -> void
    {
        for (const auto& [account, state] : accounts)
            visit (account, demandOf (state, now));
    }

private:
    struct State
    {
        TokenBucket bucket;
        /** Tokens asked for, fading over `demandTime`. */
        double asked = 0.0;
        TimePoint askedAt {};
    };

    /** Demand is averaged over this time: long against a request's size, short against a day's swing. */
    static constexpr auto demandTime = Duration (2s);

    static auto demandOf (const State& state, TimePoint now) -> double;

    std::map<std::string, State, std::less<>> accounts;
};

/** @returns the share of a limit that a node takes.

    @param own  tokens a second that it was asked for lately
*/
auto quotaShare (double own, const QuotaPart& part) -> double;

} // namespace snowrudder
