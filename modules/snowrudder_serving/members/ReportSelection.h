#pragma once

#include "PeerReport.h"

#include <cstddef>
#include <string>
#include <vector>

namespace snowrudder
{

/** The largest number of accounts that a report covers completely; of more, each report covers one part, in turn. An
    account takes some 35 bytes. A reader that responds to 80 nodes five times a second then sends a megabyte a second,
    two fifths of a link of 20 Mbit/s, however many accounts there are.
*/
inline constexpr auto maxAccountsPerPart = std::size_t { 64 };

/** The largest number of accounts that a report includes beside its part. */
inline constexpr auto maxOtherAccounts = std::size_t { 64 };

/** @returns the number of parts in which a number of accounts is reported. */
auto reportParts (std::size_t accounts) -> std::uint32_t;

/** What a node last reported of each account that it had to report. */
using ReportedTotals = AccountAmounts;

/** Selects the accounts of a report that is sent unprompted: the part whose turn it is, and those of which most was
    admitted since they were last reported.

    @param reported  updated with what the report includes
*/
auto selectForReport (const PeerReport& report, ReportedTotals& reported) -> AccountSelection;

/** Selects the accounts of the response to a report: the part whose turn it is by the report's sequence, those that the
    report names, which its node has requests of, and those near their limits, as far as there is room.

    @param accounts    number of accounts that the responder has figures of
    @param nearLimits  the accounts that all nodes must hear of without delay, the most important first
*/
auto selectForResponse (const PeerReport& report,
                        std::size_t accounts,
                        const std::vector<std::string>& nearLimits) -> AccountSelection;

/** Removes all other accounts from a report. */
auto applySelection (PeerReport& report, const AccountSelection& selection) -> void;

} // namespace snowrudder
