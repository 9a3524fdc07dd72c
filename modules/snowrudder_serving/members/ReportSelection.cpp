#include "ReportSelection.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <span>
#include <vector>

namespace snowrudder
{

namespace
{

/** @returns the part whose turn it is in a report of a given sequence number. */
auto partForTurn (std::uint64_t sequence, std::size_t accounts) -> AccountPart
{
    const auto count = reportParts (accounts);
    return { static_cast<std::uint32_t> (sequence % count), count };
}

} // namespace

auto reportParts (std::size_t accounts) -> std::uint32_t
{
    const auto needed = (accounts + maxAccountsPerPart - 1) / maxAccountsPerPart;
    return static_cast<std::uint32_t> (
        std::min<std::size_t> (std::bit_ceil (std::max<std::size_t> (needed, 1)), accountSlices));
}

auto selectForReport (const PeerReport& report, ReportedTotals& reported) -> AccountSelection
{
    AccountSelection selection;
    selection.part = partForTurn (report.sequence, report.admitted.size());

    if (selection.part.count > 1)
    {
        std::vector<std::pair<double, std::string_view>> changes;

        for (const auto& [account, use] : report.admitted)
        {
            const auto known = reported.find (account);
            const auto change = std::abs (use.tokens - (known == reported.end() ? 0.0 : known->second));

            if (change > 0.0 && ! isInPart (selection.part, account))
                changes.emplace_back (change, account);
        }

        const auto kept = std::min (changes.size(), maxOtherAccounts);
        std::ranges::partial_sort (changes, changes.begin() + static_cast<std::ptrdiff_t> (kept),
                                   std::greater());

        for (const auto& [change, account] : std::span (changes).first (kept))
            selection.others.emplace (account);
    }

    for (const auto& [account, use] : report.admitted)
        if (selection.contains (account))
            reported[account] = use.tokens;

    return selection;
}

auto selectForResponse (const PeerReport& report,
                        std::size_t accounts,
                        const std::vector<std::string>& nearLimits) -> AccountSelection
{
    AccountSelection selection;
    selection.part = partForTurn (report.sequence, accounts);

    if (selection.part.count == 1)
        return selection;

    const auto add = [&selection] (const std::string& account)
    {
        if (selection.others.size() < maxOtherAccounts && ! isInPart (selection.part, account))
            selection.others.insert (account);
    };

    for (const auto& [account, use] : report.admitted)
        add (account);

    for (const auto& account : nearLimits)
        add (account);

    return selection;
}

auto applySelection (PeerReport& report, const AccountSelection& selection) -> void
{
    report.part = selection.part;

    if (selection.part.count > 1)
        std::erase_if (report.admitted,
                       [&selection] (const auto& entry) { return ! selection.contains (entry.first); });
}

} // namespace snowrudder
