#pragma once

#include "PeerReport.h"

#include <map>
#include <string>
#include <string_view>

namespace snowrudder
{

/** What this node heard of the others. A report never goes back: late and doubled ones change nothing.

    At a reader it also keeps the sums that the reader hands on, so that handing them on costs the same however many
    nodes they are made of.
*/
class PeerTable
{
public:
    /** @param started  when this node began to admit requests */
    explicit PeerTable (TimePoint started = {}) : knownSince (started) {}

    /** Takes a report in; one that is older than what is known changes nothing.

        @returns tokens that the node admitted since its last report. Of a node heard of for the first time, what it is
                 likely to have admitted since this one knows of the others
    */
    auto record (PeerReport report, TimePoint now) -> AccountAmounts;

    /** @returns whether a report is the first of its node's process that is heard here. */
    [[nodiscard]] auto isFirst (const PeerReport& report) const -> bool;

    /** Charges what nodes that have fallen silent may go on admitting: their last rate, for a few seconds.

        @param passed  since the last call
        @returns       tokens
    */
    auto chargeSilentPeers (Duration passed, TimePoint now) -> AccountAmounts;

    /** Forgets all peers, as when another reader tells of the same nodes from now on.

        @returns tokens to be given back: what was charged for peers that had fallen silent
    */
    auto forgetAll() -> AccountAmounts;

    /** @returns tokens a second that callers lately asked of the nodes heard of within `recentTime`. */
    [[nodiscard]] auto asked (TimePoint now) const -> AccountAmounts;

    /** @returns nodes heard of within `recentTime`. */
    [[nodiscard]] auto countRecentNodes (TimePoint now) const -> std::size_t;

    /** @returns when the last report came. */
    [[nodiscard]] auto lastReceived() const -> TimePoint { return latestReceivedAt; }

    /** @returns what the other nodes gave to a service's replicas, and the median of the speeds that they learnt. */
    [[nodiscard]] auto work (const std::string& service, TimePoint now) const -> ServiceWork;

    /** Works out anew the rates that the sums tell. They may be a tenth of a second old: rates are means over 2 s. */
    auto refreshRates (TimePoint now) -> void;

    /** Adds the figures of the nodes that report here to those of this node.

        @param own  this node's report; becomes one of scope `nodesOfReader`
    */
    [[nodiscard]] auto withNodes (PeerReport own, TimePoint now) const -> PeerReport;

    /** Adds the figures of all nodes but one to those of this node.

        @param own    this node's report; becomes one of scope `allOthers`
        @param asker  the node that is left out
    */
    [[nodiscard]] auto withAllBut (PeerReport own, std::string_view requester, TimePoint now) const -> PeerReport;

    /** A node that was silent for so long no longer counts among those that share limits. */
    static constexpr auto recentTime = Duration (2s);

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
        TimePoint receivedAt {};
        /** Totals as last told of each account. */
        AccountAmounts reportedTotals;
        /** All that was charged here for it. */
        AccountAmounts charged;
        /** Tokens charged while it was silent, to be set off against what it tells next. */
        AccountAmounts assumed;
    };

    /** What was charged for several nodes together, and their rates as last worked out. */
    struct Sum
    {
        AccountAmounts charged;
        AccountAmounts perSecond;
        AccountAmounts asked;
    };

    [[nodiscard]] static auto isRecent (const Peer& peer, TimePoint now) -> bool;
    [[nodiscard]] static auto countedNodes (const Peer& peer, TimePoint now) -> std::uint32_t;
    auto addCharge (Peer& peer, const std::string& account, double tokens) -> void;
    auto addRates (Sum& sum, const Peer& peer) const -> void;

    /** From when on admissions of the others are known here. */
    TimePoint knownSince;
    TimePoint latestReceivedAt {};
    std::map<std::string, Peer, std::less<>> peers;
    Sum all;
    /** Of the peers that report here for themselves. */
    Sum nodes;
};

} // namespace snowrudder
