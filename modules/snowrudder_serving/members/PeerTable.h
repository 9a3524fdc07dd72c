#pragma once

#include "PeerReport.h"
#include "ReportTimes.h"

#include <map>
#include <string>
#include <string_view>

namespace snowrudder
{

/** The reports received from other nodes. Reports that arrive out of order or twice are ignored.

    At a reader it also maintains the sums that the reader forwards, so that the cost of a report doesn't depend on the
    number of nodes that it covers.
*/
class PeerTable
{
public:
    /** @param started  when this node began to admit requests */
    explicit PeerTable (TimePoint started = {}) : knownSince (started) {}

    /** Merges a report received from a peer; one that is older than the peer's latest is ignored.

        @returns tokens that the peer admitted since its last report, by client account. For a peer's first report, an
                 estimate of what it admitted since this node began to track its peers
    */
    auto record (PeerReport report, TimePoint now) -> AccountAmounts;

    /** @returns whether a report is the first one received from its node's process. */
    [[nodiscard]] auto isFirst (const PeerReport& report) const -> bool;

    /** Charges the tokens that silent peers may still be admitting: their last rate, from `silentTime` to `assumedTime`
        after their last report.

        @param passed  time since the last call
        @returns       tokens by client account
    */
    auto chargeSilentPeers (Duration passed, TimePoint now) -> AccountAmounts;

    /** Removes all peers, as when another reader will report the same nodes from now on. Their demand counts until the first
        report arrives, for `recentTime` at most.

        @returns the negated tokens that were charged for silent peers, to be given back
    */
    auto forgetAll() -> AccountAmounts;

    /** @returns the recent rate of tokens, per second, that callers requested of the peers with a report within
        `recentTime`.
    */
    [[nodiscard]] auto requestedRates (TimePoint now) const -> AccountAmounts;

    /** @returns the number of nodes covered by reports within `recentTime`. */
    [[nodiscard]] auto countRecentNodes (TimePoint now) const -> std::size_t;

    /** @returns when the last report was received. */
    [[nodiscard]] auto lastReceived() const -> TimePoint { return latestReceivedAt; }

    /** @returns the work that the other nodes assigned to a service's replicas, and the median of their estimated
        prompt speeds.
    */
    [[nodiscard]] auto work (const std::string& service, TimePoint now) const -> ServiceWork;

    /** @returns the demand of the other nodes for a service, and how many of them it covers. A silent node is soon no longer
        covered, but its last demand counts for `demandKeptTime`: it may go on to use its part of a limit.
    */
    [[nodiscard]] auto demand (const std::string& service, TimePoint now) const -> ReportedDemand;

    /** Recalculates the rates of the sums. They may be a tenth of a second old, since rates are averages over 2 s. */
    auto refreshRates (TimePoint now) -> void;

    /** Adds the figures of the nodes that report to this node to its own.

        @param own  this node's report; becomes one of scope `nodesOfReader`
    */
    [[nodiscard]] auto withNodes (PeerReport own, TimePoint now) const -> PeerReport;

    /** Adds the figures of all other nodes but one to this node's own.

        @param own        this node's report; becomes one of scope `allOthers`
        @param requester  the node that is left out
        @param selection  the accounts to include
    */
    [[nodiscard]] auto withAllBut (PeerReport own,
                                   std::string_view requester,
                                   TimePoint now,
                                   const AccountSelection& selection = {}) const -> PeerReport;

    /** @returns the number of client accounts that were charged for other nodes. */
    [[nodiscard]] auto accountCount() const -> std::size_t { return all.charged.size(); }

    /** Nodes without a report for longer than this no longer count among those that share the limits. */
    static constexpr auto recentTime = Duration (2s);

    /** How long the last reported demand of a peer counts. A node that is cut off from the others goes on to use its part of a
        limit until their reports are older than `recentTime`, the last of which may have arrived after its own last one.
    */
    static constexpr auto demandKeptTime = recentTime + reportInterval + reportTransitTime;

    /** A peer that misses two reports counts as silent from `silentTime` on. It is charged until `assumedTime`, as long
        as a network cut usually lasts; the callers of a node that died use other nodes by then.
    */
    static constexpr auto silentTime = Duration (1s);
    static constexpr auto assumedTime = Duration (4s);

private:
    /** The rates that peers report are averages over about this time; see SharedQuota. */
    static constexpr auto rateTime = Duration (2s);

    struct Peer
    {
        PeerReport latest;
        TimePoint receivedAt {};
        /** Last reported total of each client account. */
        AccountAmounts reportedTotals;
        /** All tokens charged at this node for the peer. */
        AccountAmounts charged;
        /** Tokens charged while the peer was silent, to be deducted when its next report arrives. */
        AccountAmounts assumed;
        /** Slices of accounts that reports of this peer have covered, and those with the latest sequence number. */
        std::uint64_t knownSlices = 0;
        std::uint64_t latestSlices = 0;
        /** What the sums of all peers include of this one. */
        AccountAmounts summedDemand;
        std::uint32_t summedDemandNodes = 0;
    };

    /** Tokens charged for several nodes together, and the sums of their rates as last calculated. */
    struct Sum
    {
        AccountAmounts charged;
        AccountAmounts perSecond;
        AccountAmounts requestedRates;
        /** Requests a second by service, and the number of nodes that they cover. */
        AccountAmounts demand;
        std::uint32_t demandNodes = 0;
    };

    [[nodiscard]] static auto isNewer (const Peer& peer, const PeerReport& report) -> bool;
    [[nodiscard]] static auto isRecent (const Peer& peer, TimePoint now) -> bool;
    [[nodiscard]] static auto isDemandKept (const Peer& peer, TimePoint now) -> bool;
    [[nodiscard]] static auto demandNodesOf (const Peer& peer, TimePoint now) -> std::uint32_t;
    auto sumDemand (TimePoint now) -> void;
    auto setDemandOfAllBut (PeerReport& own, const Peer* requester) const -> void;
    [[nodiscard]] static auto countedNodes (const Peer& peer, TimePoint now) -> std::uint32_t;
    auto addCharge (Peer& peer, const std::string& account, double tokens) -> void;
    auto addRates (Sum& sum, const Peer& peer) const -> void;

    /** The time from which this node knows what the others admit. */
    TimePoint knownSince;
    TimePoint latestReceivedAt = longAgo;
    /** The demand of the peers that were removed last. */
    AccountAmounts formerDemand;
    /** Number of nodes that it covers. */
    std::uint32_t formerDemandNodes = 0;
    std::map<std::string, Peer, std::less<>> peers;
    Sum all;
    /** The sum over the peers whose reports have the scope `node`. */
    Sum nodes;
};

} // namespace snowrudder
