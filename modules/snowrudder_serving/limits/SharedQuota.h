#pragma once

#include "../configuration/RoutingConfiguration.h"
#include "../members/PeerTable.h"

#include "snowrudder_limits/snowrudder_limits.h"

#include <map>
#include <string>

namespace snowrudder
{

/** What bounds a limit over all nodes beside its own rate and burst. */
struct QuotaBounds
{
    /** Tokens by which all nodes together may go over the limit in a window. */
    double slack = 0.0;
    /** Part of the limit that this node may take: all of it, or an even part while it can't hear the others. */
    double share = 1.0;
};

/** The limits of client accounts, in tokens a second over all nodes, without a call for each request.

    Each node keeps a copy of each account's one bucket: it takes out what it admits at once, and what the others admitted
    as soon as they tell. The copies differ by what was admitted within the time between two reports; a bucket that went
    below zero by it is filled up first, so that the rate holds over any longer time.
*/
class SharedQuota
{
public:
    /** Counts a request in when its account's bucket is not empty.

        @param tokens  of prompt and answer together
    */
    auto admit (const RoutedAccount& account, double tokens, const QuotaBounds& bounds, TimePoint now)
        -> Admission;

    /** Takes out what other nodes admitted; negative amounts are given back. */
    auto charge (const std::map<std::string, double, std::less<>>& tokens) -> void;

    /** @returns whether some account has used so much of its burst that the nodes must tell each other sooner what they
        admit. While buckets are nearly full late news change nothing.
    */
    [[nodiscard]] auto isTight (TimePoint now) const -> bool;

    /** @returns what this node admitted, by client account. */
    [[nodiscard]] auto admitted (TimePoint now) const -> AdmittedByAccount;

private:
    struct State
    {
        TokenBucket bucket;
        double total = 0.0;
        /** Tokens admitted, fading over `rateTime`. */
        double recent = 0.0;
        TimePoint recentAt {};
    };

    /** Rates are averaged over this time: long against a request's size, short against a day's swing. */
    static constexpr auto rateTime = Duration (2s);

    static auto recentNow (const State& state, TimePoint now) -> double;

    std::map<std::string, State, std::less<>> accounts;
};

} // namespace snowrudder
