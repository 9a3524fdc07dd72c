#include "ListPages.h"

#include <algorithm>
#include <iterator>

namespace snowrudder
{

namespace
{

/** How often the call for one page is made before the list ends early, and the pause before each repetition. */
constexpr auto maxPageCalls = 4;
constexpr auto repeatPause = Duration (250ms);

auto logEnd (std::string_view event,
             std::string_view prefix,
             const ListPosition& position,
             StoreOutcome outcome) -> void
{
    LogLine (event)
        .with ("prefix", prefix)
        .with ("pages", position.pages)
        .with ("after", std::string_view (position.lastKey).substr (0, maxLoggedKeyLength))
        .with ("outcome", toString (outcome))
        .warning();
}

} // namespace

auto passPage (ListPosition& position, const ReadItems& page) -> PageStep
{
    const auto isAhead = [&position] (const StoredItem& item)
    { return position.pages == 0 || item.key > position.lastKey; };

    if (! std::ranges::all_of (page.items, isAhead))
        return PageStep::stuck;

    const auto last = std::ranges::max_element (page.items, {}, &StoredItem::key);

    if (page.hasMore && (page.items.empty() || last != std::prev (page.items.end())))
        return PageStep::stuck;

    ++position.pages;

    if (! page.items.empty())
        position.lastKey = last->key;

    return page.hasMore ? PageStep::nextPage : PageStep::end;
}

auto listPages (asio::io_context& loop,
                const StateStore& store,
                std::string prefix,
                ReadFreshness age,
                PageReceiver receive,
                std::size_t mostPages) -> Task<ListEnd>
{
    ListEnd end;
    ListPosition position;

    for (auto calls = 1;; ++calls)
    {
        auto page = co_await store.listPage (prefix, position.lastKey, age);
        end.outcome = page.outcome;

        if (page.outcome != StoreOutcome::done)
        {
            if (position.pages > 0 && calls < maxPageCalls)
            {
                co_await pauseFor (loop, repeatPause);
                continue;
            }

            if (position.pages > 0)
                logEnd ("list_cut_short", prefix, position, page.outcome);

            break;
        }

        if (position.pages == 0)
            end.revision = page.revision;

        calls = 0;
        const auto step = passPage (position, page);
        co_await receive (std::move (page));

        if (step == PageStep::stuck)
            logEnd ("list_stuck", prefix, position, end.outcome);

        end.isWhole = step == PageStep::end;

        if (step != PageStep::nextPage || position.pages >= mostPages)
            break;
    }

    end.pages = position.pages;
    co_return end;
}

auto listItems (asio::io_context& loop, const StateStore& store, std::string prefix, ReadFreshness age)
    -> Task<ReadItems>
{
    ReadItems all;
    const auto receive = [&all] (ReadItems page) -> Task<void>
    {
        std::ranges::move (page.items, std::back_inserter (all.items));
        co_return;
    };
    const auto end = co_await listPages (loop, store, std::move (prefix), age, receive);
    all.outcome = end.outcome;
    all.revision = end.revision;
    all.hasMore = ! end.isWhole;
    co_return all;
}

} // namespace snowrudder
