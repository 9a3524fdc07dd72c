#pragma once

#include "../configuration/RoutingConfiguration.h"
#include "../members/PeerTable.h"
#include "QuotaTolerance.h"

#include "snowrudder_limits/snowrudder_limits.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** Parameters that bound an account's limit over all nodes, in addition to its rate and burst. */
struct QuotaBounds
{
    QuotaTolerance tolerance;
    /** Fraction of the limit that this node may use: 1, or an equal share while it receives too few reports from the
        others.
    */
    double share = 1.0;
    /** Equal share of the limit for one node, as a fraction. */
    double equalShare = 1.0;
    /** Time until every other node has received what this one admitted. */
    Duration reportDelay {};
    /** How long this node, recently started, may still lack the admissions of the others; it keeps to its equal share
        meanwhile.
    */
    Duration unsettled {};
    /** Random number from 0 to 1. */
    double draw = 0.5;
    /** Whether the request was refused before, so that it is already counted in the demand. */
    bool isAdmissionRetry = false;
    /** Since when this node receives the admissions of the others; until its first request an account's bucket fills
        from then.
    */
    std::optional<TimePoint> admissionsKnownSince {};
};

/** Enforces the limits of client accounts, in tokens per second over all nodes, without a remote call for each request.

    Each node keeps a copy of every account's bucket. It subtracts its own admissions at once and those of the other
    nodes when their reports arrive. The copies differ by what is admitted between two reports. A bucket that falls
    below zero because of that refills before it admits more, so that the rate holds over any longer time.

    Nodes that were all killed together lose what they had admitted. Until they have received each other's reports, each
    one admits its equal share of the rate and of a small initial level, instead of refusing all callers that waited for
    them.

    While a bucket holds less than the demand on all nodes within the report delay, reports arrive too late to show that
    it is empty. Each node then keeps to a ration of the account's rate, in proportion to its part of the demand.
*/
class SharedQuota
{
public:
    /** @param started  when this node began to admit requests */
    explicit SharedQuota (TimePoint started = {}) : startTime (started) {}

    /** Admits a request if its account's bucket is not empty.

        @param tokens  of prompt and answer together
    */
    auto admit (const RoutedAccount& account, double tokens, const QuotaBounds& bounds, TimePoint now)
        -> Admission;

    /** Sets an account's limit before its first request, so that its bucket is kept filled up to its burst while other
        nodes' admissions are charged. Otherwise the bucket of an account that has a request here once in minutes would
        be full at each of them, whatever the others have admitted in the last seconds.

        @param fillsFrom  since when this node receives the admissions of the others
    */
    auto learnLimit (const RoutedAccount& account, const QuotaTolerance& tolerance, TimePoint fillsFrom)
        -> void;

    /** Subtracts what other nodes admitted; negative amounts are refunded. */
    auto charge (const AccountAmounts& tokens, TimePoint now) -> void;

    /** Adopts another node's bucket levels when this node starts. */
    auto adopt (const AdmittedByAccount& others, TimePoint now) -> void;

    /** Sets the demand on all other nodes together, in tokens per second. */
    auto setDemandOfOthers (const AccountAmounts& demand) -> void;

    /** @returns whether the bucket of some account is so low that the nodes must report their admissions more often.
        While buckets are nearly full, late reports make no difference.
    */
    [[nodiscard]] auto hasLowBucket (TimePoint now) const -> bool;

    /** @returns what this node admitted, by client account.

        @param idleTime   accounts without a request within this time are left out
        @param selection  the accounts to include
    */
    [[nodiscard]] auto admitted (TimePoint now,
                                 Duration idleTime = Duration::max(),
                                 const AccountSelection& selection = {}) const -> AdmittedByAccount;

    /** @returns the accounts whose buckets are low, the emptiest first. Every node must hear of these without delay,
        whether it has requests of them or not.

        @param most  the largest number of accounts
    */
    [[nodiscard]] auto lowAccounts (TimePoint now, std::size_t most) const -> std::vector<std::string>;

    /** @returns the number of accounts that this node has figures of. */
    [[nodiscard]] auto accountCount() const -> std::size_t { return accounts.size(); }

private:
    /** Time over which rates are averaged: long compared with a request, short compared with the daily load curve. */
    static constexpr auto averagingTime = Duration (2s);

    /** Shortest time over which a rate is computed, since a single first request gives no rate. */
    static constexpr auto minAveragingTime = Duration (200ms);

    /** Sum of tokens that decays exponentially over `averagingTime`. */
    struct DecayingSum
    {
        double tokens = 0.0;
        TimePoint at {};

        auto add (double more, TimePoint now) -> void;
        [[nodiscard]] auto remaining (TimePoint now) const -> double;
        /** @param since  when the first tokens were added */
        [[nodiscard]] auto ratePerSecond (TimePoint since, TimePoint now) const -> double;
    };

    struct State
    {
        TokenBucket bucket;
        /** Whether the bucket's initial level has been set. */
        bool hasInitialLevel = false;
        /** This node's part of the rate while the bucket is nearly empty; its equal share while the node is not
            settled.
        */
        TokenBucket ration;
        /** This node's equal share of the limit while it receives too few reports from the others. It is separate from
            the bucket, which keeps the whole rate and is charged with the admissions of the others. A single bucket at
            the share's rate with these charges accumulated one second's worth of the whole limit as debt at a node that
            lost its reader for a second.
        */
        TokenBucket equalShareBucket;
        double total = 0.0;
        DecayingSum admitted;
        DecayingSum demand;
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
