#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <bit>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace snowrudder
{

/** Number of slices into which client accounts are divided by a hash of their names. All nodes divide them the same way.
 */
inline constexpr auto accountSlices = std::uint32_t { 64 };

/** Some of the client accounts: those whose slice modulo `count` is `index`. Figures of many accounts don't fit into one
    datagram and are sent in parts.
*/
struct AccountPart
{
    std::uint32_t index = 0;
    /** A power of two, at most `accountSlices`; 1 for all accounts. */
    std::uint32_t count = 1;

    auto operator== (const AccountPart&) const -> bool = default;
};

inline auto isValid (const AccountPart& part) -> bool
{
    return std::has_single_bit (part.count) && part.count <= accountSlices && part.index < part.count;
}

inline auto sliceOf (std::string_view account) -> std::uint32_t
{
    return static_cast<std::uint32_t> (hashBytes (account) % accountSlices);
}

inline auto isInPart (const AccountPart& part, std::string_view account) -> bool
{
    return part.count == 1 || sliceOf (account) % part.count == part.index;
}

/** @returns the slices of a part, one bit each. */
inline auto slicesOf (const AccountPart& part) -> std::uint64_t
{
    auto slices = std::uint64_t { 0 };

    for (auto slice = part.index; slice < accountSlices; slice += part.count)
        slices |= std::uint64_t { 1 } << slice;

    return slices;
}

/** @returns the two halves of a part, or nothing for a single slice. */
inline auto halvesOf (const AccountPart& part) -> std::optional<std::pair<AccountPart, AccountPart>>
{
    if (part.count == accountSlices)
        return {};

    const auto count = 2 * part.count;
    return std::pair { AccountPart { part.index, count }, AccountPart { part.index + part.count, count } };
}

/** The accounts that a report includes: a part of all, and some others. */
struct AccountSelection
{
    AccountPart part;
    std::set<std::string, std::less<>> others;

    [[nodiscard]] auto contains (std::string_view account) const -> bool
    {
        return isInPart (part, account) || others.contains (account);
    }
};

} // namespace snowrudder
