#pragma once

#include "StateStore.h"

#include <functional>
#include <limits>
#include <string>
#include <string_view>

namespace snowrudder
{

/** The longest part of a key that is logged, in bytes. */
inline constexpr auto maxLoggedKeyLength = std::size_t { 256 };

/** How far the pages of a list have been read. */
struct ListPosition
{
    /** The last key of the pages so far; the next page begins after it. Empty before the first page. */
    std::string lastKey;
    std::size_t pages = 0;
};

/** What follows a page of a list. */
enum class PageStep
{
    nextPage,
    /** The list has been read whole. */
    end,
    /** The page doesn't go forward: it repeats keys of an earlier one, doesn't end at its last key, or is empty though more
        pages are to follow. What comes after it can't be known.
    */
    stuck
};

/** Moves a position past a page, unless the list is stuck there. */
auto passPage (ListPosition& position, const ReadItems& page) -> PageStep;

/** How a list ended. */
struct ListEnd
{
    /** Of the last call. */
    StoreOutcome outcome = StoreOutcome::unknown;
    /** The store's revision at the time of the first page. The pages are no snapshot, so that changes have to be watched from
        here on; 0 if there was no page.
    */
    std::uint64_t revision = 0;
    /** Whether all pages were read. An item that is missing from a list that isn't whole may exist. */
    bool isWhole = false;
    std::size_t pages = 0;
};

/** Receives the pages of a list one after the other. */
using PageReceiver = std::function<Task<void> (ReadItems page)>;

/** Lists the items with a prefix page by page. A call that fails after the first page is repeated a few times, so that a
    long list doesn't begin anew. A list that ends early is logged.

    @param receive    gets each page as it arrives
    @param mostPages  how many pages are read at most
*/
auto listPages (asio::io_context& loop,
                const StateStore& store,
                std::string prefix,
                ReadFreshness age,
                PageReceiver receive,
                std::size_t mostPages = std::numeric_limits<std::size_t>::max()) -> Task<ListEnd>;

/** Lists the items with a prefix.

    @returns all items in one; with `hasMore`, if the list isn't whole
*/
auto listItems (asio::io_context& loop, const StateStore& store, std::string prefix, ReadFreshness age)
    -> Task<ReadItems>;

} // namespace snowrudder
