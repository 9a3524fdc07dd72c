#pragma once

#include "../duties/UsageWindows.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** Tokens of one client account that a node admitted. */
struct AdmittedTokens
{
    /** Since the node's start. */
    double tokens = 0.0;
    /** Lately. */
    double tokensPerSecond = 0.0;
    /** What callers lately asked for, admitted or not. */
    double askedPerSecond = 0.0;
    /** What the node believes to be left of the account's burst, below zero after an overshoot. Nothing where it has had no
        request of the account yet: it does not know the limit then, and counts only what others took.
    */
    std::optional<double> level {};
};

/** Amounts by client account. */
using AccountAmounts = std::map<std::string, double, std::less<>>;

/** What a node gave to the replicas of one service. */
struct ServiceWork
{
    /** Prompt tokens to be read, lately. */
    double tokensPerSecond = 0.0;
    /** Requests that replicas have now. */
    double inFlight = 0.0;
    /** Prompt tokens that replicas read a millisecond, as the node learnt it. */
    std::optional<double> promptSpeed {};
};

using AdmittedByAccount = std::map<std::string, AdmittedTokens, std::less<>>;

/** What a node tells the others of itself, some times a second. */
struct PeerReport
{
    std::string node;
    /** Rises with each start of the node's process. */
    std::uint64_t incarnation = 0;
    /** Rises with each report. */
    std::uint64_t sequence = 0;
    /** Revision of its configuration, and how old its proof was when it sent the report. */
    std::uint64_t configurationRevision = 0;
    Duration proofAge {};
    bool leaving = false;
    /** Whether it has been there long enough to know what the others admit. */
    bool isSettled = false;
    AdmittedByAccount admitted;
    /** By service. */
    std::map<std::string, ServiceWork, std::less<>> work;
    /** Its counts of requests that began to run, by window. */
    std::map<std::uint64_t, AccountCounts> usage;
};

/** What this node heard of the others. A report never goes back: late and doubled ones change nothing. */
class PeerTable
{
public:
    /** @param started  when this node began to admit requests */
    explicit PeerTable (TimePoint started = {}) : startTime (started) {}

    /** Takes a report in; one that is older than what is known changes nothing.

        @returns tokens that the node admitted since its last report. Of a node heard of for the first time, what it is
                 likely to have admitted since this one started
    */
    auto note (PeerReport report, TimePoint now) -> AccountAmounts;

    /** @returns whether a report is the first of its node's process that is heard here. */
    [[nodiscard]] auto isFirst (const PeerReport& report) const -> bool;

    /** Charges what nodes that have fallen silent may go on admitting: their last rate, for a few seconds.

        @param passed  since the last call
        @returns       tokens
    */
    auto assumeSilent (Duration passed, TimePoint now) -> AccountAmounts;

    /** @returns tokens a second that callers lately asked of the nodes heard of within `heardTime`. */
    [[nodiscard]] auto asked (TimePoint now) const -> AccountAmounts;

    /** @returns nodes heard of within `heardTime`. */
    [[nodiscard]] auto countHeard (TimePoint now) const -> std::size_t;

    /** @returns what the other nodes gave to a service's replicas, and the median of the speeds that they learnt. */
    [[nodiscard]] auto work (const std::string& service, TimePoint now) const -> ServiceWork;

    /** Adds the other nodes' counts of a window. Those of nodes that died count too. */
    auto addUsage (std::uint64_t window, AccountCounts& counts) const -> void;

    /** Forgets counts of windows before one. */
    auto dropUsageBefore (std::uint64_t window) -> void;

    /** A node that was silent for so long no longer counts among those that share limits. */
    static constexpr auto heardTime = Duration (2s);

    /** A node that misses two of its reports is taken as silent, and is charged for as long as a cut usually lasts; the
        callers of a node that died have come to others by then.
    */
    static constexpr auto silentTime = Duration (1s);
    static constexpr auto assumedTime = Duration (4s);

private:
    /** The rates that peers tell are averages over about this time; see SharedQuota. */
    static constexpr auto rateTime = Duration (2s);

    struct Peer
    {
        PeerReport latest;
        TimePoint heard {};
        /** Tokens charged while it was silent, to be set off against what it tells next. */
        AccountAmounts assumed;
        /** Counts of its earlier incarnations: a restart forgets its own. */
        std::map<std::uint64_t, AccountCounts> earlierUsage;
    };

    TimePoint startTime;
    std::map<std::string, Peer, std::less<>> peers;
};

/** Adds counts to counts. */
auto addCounts (AccountCounts& sum, const AccountCounts& more) -> void;

} // namespace snowrudder
