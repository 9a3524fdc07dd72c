#pragma once

#include "../configuration/RoutingConfiguration.h"
#include "../members/PeerTable.h"
#include "QuotaTolerance.h"

#include "snowrudder_limits/snowrudder_limits.h"

#include <map>
#include <optional>
#include <string>

namespace snowrudder
{

/** What bounds a limit over all nodes beside its own rate and burst. */
struct QuotaBounds
{
    QuotaTolerance tolerance;
    /** Part of the limit that this node may take: all of it, or an even part while it can't hear the others. */
    double share = 1.0;
    /** One node's even part of the limit. */
    double equalShare = 1.0;
    /** Until every other node has heard what this one admitted. */
    Duration reportDelay {};
    /** For how long this node, which has just started, can't know yet what the others admit; it keeps to its even part. */
    Duration unsettled {};
    /** A random number from 0 to 1. */
    double draw = 0.5;
    /** Whether the request was refused before and counts among those asked for already. */
    bool isAdmissionRetry = false;
    /** From when on this node knows what the others admit; until its first request an account's bucket fills from then. */
    std::optional<TimePoint> admissionsKnownSince {};
};

/** The limits of client accounts, in tokens a second over all nodes, without a call for each request.

    Each node keeps a copy of each account's one bucket: it takes out what it admits at once, and what the others admitted
    as soon as they tell. The copies differ by what was admitted within the time between two reports; a bucket that went
    below zero by it is filled up first, so that the rate holds over any longer time.

    Nodes that were all killed together know nothing of what they had admitted. Each admits its even part of the rate and of a
    small first level from its first request on, rather than refuse all that waits for their return until they have told each
    other.

    While a bucket holds less than all nodes together are asked for within that time, they can't tell early enough that it
    is empty. Each node then keeps to a ration of the account's rate, by its part of what is asked.
*/
class SharedQuota
{
public:
    /** @param started  when this node began to admit requests */
    explicit SharedQuota (TimePoint started = {}) : startTime (started) {}

    /** Counts a request in when its account's bucket is not empty.

        @param tokens  of prompt and answer together
    */
    auto admit (const RoutedAccount& account, double tokens, const QuotaBounds& bounds, TimePoint now)
        -> Admission;

    /** Takes out what other nodes admitted; negative amounts are given back. */
    auto charge (const AccountAmounts& tokens, TimePoint now) -> void;

    /** Takes over what another node believes to be left in the buckets, at the start of this one. */
    auto adopt (const AdmittedByAccount& others, TimePoint now) -> void;

    /** Notes what all other nodes together are asked for, in tokens a second. */
    auto setDemandOfOthers (const AccountAmounts& asked) -> void;

    /** @returns whether some account has used so much of its burst that the nodes must tell each other sooner what they
        admit. While buckets are nearly full late news change nothing.
    */
    [[nodiscard]] auto hasLowBucket (TimePoint now) const -> bool;

    /** @returns what this node admitted, by client account.

        @param idleTime  accounts that were not asked for in this time are left out
    */
    [[nodiscard]] auto admitted (TimePoint now, Duration idleTime = Duration::max()) const
        -> AdmittedByAccount;

private:
    /** Rates are averaged over this time: long against a request's size, short against a day's swing. */
    static constexpr auto averagingTime = Duration (2s);

    /** A rate is taken over this time at least: a first request alone tells of none. */
    static constexpr auto minAveragingTime = Duration (200ms);

    /** A sum of tokens that fades over `averagingTime`. */
    struct DecayingSum
    {
        double tokens = 0.0;
        TimePoint at {};

        auto add (double more, TimePoint now) -> void;
        [[nodiscard]] auto left (TimePoint now) const -> double;
        /** @param begun  since when tokens were added */
        [[nodiscard]] auto ratePerSecond (TimePoint begun, TimePoint now) const -> double;
    };

    struct State
    {
        TokenBucket bucket;
        /** Whether the bucket has its first level. */
        bool hasInitialLevel = false;
        /** This node's part of the rate while the bucket is nearly empty; its even part of it while the node is not settled. */
        TokenBucket ration;
        /** This node's even part of the limit while it hears too few of the others. It stands apart from the bucket, which goes on
            at the whole rate and is charged with what the others admitted: charged with that at the rate of its part, the bucket
            of a node that lost its reader for a second fell a second of the whole limit into debt.
        */
        TokenBucket equalShareBucket;
        double total = 0.0;
        DecayingSum admitted;
        DecayingSum asked;
        double demandOfOthersPerSecond = 0.0;
    };

    auto admitLimited (State& state,
                       const RoutedAccount& account,
                       double tokens,
                       const QuotaBounds& bounds,
                       TimePoint now) -> Admission;
    auto admitShared (State& state,
                      const RoutedAccount& account,
                      double tokens,
                      const QuotaBounds& bounds,
                      TimePoint now) -> Admission;
    auto admitEqualShare (State& state,
                        const RoutedAccount& account,
                        double tokens,
                        const QuotaBounds& bounds,
                        TimePoint now) -> Admission;
    auto admitUnsettled (State& state,
                         const RoutedAccount& account,
                         double tokens,
                         const QuotaBounds& bounds,
                         TimePoint now) -> Admission;
    auto refillBucket (State& state, const RoutedAccount& account, const QuotaBounds& bounds, TimePoint now)
        -> void;
    auto refillRation (State& state, double tokens, double reserve, double draw, TimePoint now) -> void;

    TimePoint startTime;
    std::map<std::string, State, std::less<>> accounts;
};

} // namespace snowrudder
