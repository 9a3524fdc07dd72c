#include "ServingFixtures.h"

#include "snowrudder_serving/store/ReplicaListing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace snowrudder;

namespace
{

/** What is wrong with the pages of a store. */
enum class PageFault
{
    none,
    repeatsPage,
    repeatsFirstPage,
    emptyPage,
    reversedPage,
    skipsBack
};

constexpr auto pageFaults = std::array { PageFault::none,
                                         PageFault::none,
                                         PageFault::none,
                                         PageFault::repeatsPage,
                                         PageFault::repeatsFirstPage,
                                         PageFault::emptyPage,
                                         PageFault::reversedPage,
                                         PageFault::skipsBack };

constexpr auto prefix = std::string_view ("r/");
constexpr auto replicaValue = std::string_view ("replica");

/** A store in memory with replicas and foreign entries, which change while its pages are read. */
struct PagedStore
{
    explicit PagedStore (unsigned seed)
        : random (seed), pageItems (1 + random() % 4), fault (pageFaults.at (random() % pageFaults.size())),
          faultyPage (random() % 6), changesPerCall (random() % 3)
    {
        for (auto count = random() % 30; count > 0; --count)
            change();
    }

    /** Puts, changes or removes an entry. */
    auto change() -> void
    {
        ++revision;
        auto key = randomKey();

        if (random() % 3 == 0 && ! items.empty())
            key = std::next (items.begin(), static_cast<long> (random() % items.size()))->first;

        if (items.contains (key) && random() % 2 == 0)
        {
            items.erase (key);
            events.push_back ({ key, {}, revision, 0, true });
            return;
        }

        const auto value = random() % 3 == 0 ? std::string ("foreign") : std::string (replicaValue);
        items[key] = { key, value, revision, 0, false };
        events.push_back (items[key]);
    }

    auto randomKey() -> std::string
    {
        auto key = std::string (prefix);

        for (auto length = 1 + random() % 4; length > 0; --length)
            key += random() % 2 == 0 ? "%&+=a2 "[random() % 7] : static_cast<char> (random() % 256);

        return key;
    }

    auto page (const std::string& after) -> ReadItems
    {
        ReadItems read { StoreOutcome::done, {}, revision };

        for (auto place = items.upper_bound (after); place != items.end(); ++place)
        {
            if (read.items.size() == pageItems)
            {
                read.hasMore = true;
                break;
            }

            read.items.push_back (place->second);
        }

        return read;
    }

    /** Answers a call for a page as the fault of the store has it. */
    auto answer (const std::string& after) -> ReadItems
    {
        const auto isFaulty = calls++ >= faultyPage;
        auto read = page (after);

        if (isFaulty && fault == PageFault::repeatsPage && lastPage.hasMore)
            return lastPage;

        if (isFaulty && fault == PageFault::repeatsFirstPage)
            read = page ({});

        if (isFaulty && fault == PageFault::emptyPage && read.hasMore)
            read.items.clear();

        if (isFaulty && fault == PageFault::reversedPage)
            std::ranges::reverse (read.items);

        if (isFaulty && fault == PageFault::skipsBack && ! after.empty())
            read = page (after.substr (0, after.size() - 1));

        lastPage = read;

        for (auto changes = changesPerCall; changes > 0; --changes)
            change();

        if (onPage)
            onPage();

        return read;
    }

    auto face() -> StateStore
    {
        StateStore store;
        store.listPage = [this] (std::string, std::string after, ReadFreshness) -> Task<ReadItems>
        { co_return answer (after); };
        store.watch = [this] (std::string, std::uint64_t after, WatchTimes) -> Task<ReadItems>
        { co_return changesAfter (after); };
        return store;
    }

    auto changesAfter (std::uint64_t after) const -> ReadItems
    {
        ReadItems read { StoreOutcome::done, {}, revision };

        for (const auto& event : events)
            if (event.revision > after)
                read.items.push_back (event);

        return read;
    }

    auto replicas() const -> std::set<std::string>
    {
        std::set<std::string> keys;

        for (const auto& [key, item] : items)
            if (item.value == replicaValue)
                keys.insert (key);

        return keys;
    }

    std::mt19937 random;
    std::map<std::string, StoredItem> items;
    std::vector<StoredItem> events;
    std::uint64_t revision = 1;
    std::size_t pageItems;
    PageFault fault;
    std::size_t faultyPage;
    std::size_t changesPerCall;
    std::size_t calls = 0;
    ReadItems lastPage;
    /** Called before each page is returned. */
    std::function<void()> onPage;
};

auto keysOf (const ReplicaDirectory& directory) -> std::set<std::string>
{
    std::set<std::string> keys;

    for (const auto& [key, entry] : directory.entries)
        keys.insert (key);

    return keys;
}

/** A node that gets the replicas from another one, in small messages. */
struct FollowingDirectory
{
    /** Asks for changes until there are no more. */
    auto follow (const ReplicaDirectory& reader) -> void
    {
        constexpr auto messageBytes = std::size_t { 100 };

        for (auto hasMore = true; hasMore;)
        {
            auto changes = changesAfter (reader, directory.revision, messageBytes);
            isComplete = changes.isComplete;

            if (! isComplete)
                return;

            hasMore = changes.hasMore;
            applyChanges (directory, std::move (changes), BootClock::now());
        }
    }

    ReplicaDirectory directory;
    bool isComplete = false;
};

/** A node that lists the replicas. */
struct ListingNode
{
    ListingNode() : state (loop, ServingSettings())
    {
        formats.replicaPrefix = prefix;
        formats.readReplica = [] (const StoredItem& item) -> std::optional<DirectoryEntry>
        {
            if (item.value != replicaValue)
                return {};

            DirectoryEntry entry;
            entry.key = item.key;
            entry.revision = item.revision;
            entry.info.name = item.key;
            entry.info.vm = item.key;
            entry.info.service = "svc";
            entry.info.endpoint = "127.0.0.1:80";
            entry.info.slots = 1;
            return entry;
        };
    }

    auto list (PagedStore& store, ListReason reason = ListReason::afterGap) -> ListEnd
    {
        ListEnd end;
        const auto face = store.face();
        asio::co_spawn (
            loop, [&]() -> Task<void> { end = co_await listReplicas (state, face, formats, reason); },
            asio::detached);
        loop.restart();
        loop.run();
        return end;
    }

    /** Applies what a watch after the list returns. */
    auto watch (const PagedStore& store) -> void
    {
        applyEvents (state, formats, store.changesAfter (state.directory.revision).items);
        state.directory.revision = store.revision;
    }

    auto known() const -> std::set<std::string> { return keysOf (state.directory); }

    asio::io_context loop;
    ServingState state;
    StoreFormats formats;
};

auto pageOf (std::vector<std::string> keys, bool hasMore) -> ReadItems
{
    ReadItems page { StoreOutcome::done, {}, 7 };

    for (auto& key : keys)
        page.items.push_back ({ std::move (key), {}, 1, 0, false });

    page.hasMore = hasMore;
    return page;
}

} // namespace

TEST_CASE ("the pages of a list go forward, or it is stuck")
{
    ListPosition position;
    CHECK (passPage (position, pageOf ({ "b", "a", "c" }, true)) == PageStep::nextPage);
    CHECK (position.lastKey == "c");
    CHECK (position.pages == 1);

    SECTION ("to the end")
    {
        CHECK (passPage (position, pageOf ({ "e", "d" }, false)) == PageStep::end);
        CHECK (position.lastKey == "e");
    }

    SECTION ("to an empty page at the end")
    {
        CHECK (passPage (position, pageOf ({}, false)) == PageStep::end);
        CHECK (position.lastKey == "c");
    }

    SECTION ("not by an empty page before others")
    {
        CHECK (passPage (position, pageOf ({}, true)) == PageStep::stuck);
    }

    SECTION ("not by a page that repeats a key")
    {
        CHECK (passPage (position, pageOf ({ "c" }, false)) == PageStep::stuck);
        CHECK (passPage (position, pageOf ({ "a", "d" }, true)) == PageStep::stuck);
    }

    SECTION ("not by a page that doesn't end at its last key")
    {
        CHECK (passPage (position, pageOf ({ "e", "d" }, true)) == PageStep::stuck);
    }

    SECTION ("in the order of the keys' bytes")
    {
        CHECK (passPage (position, pageOf ({ "\x7f" }, true)) == PageStep::nextPage);
        CHECK (passPage (position, pageOf ({ "\xc3\xa9" }, false)) == PageStep::end);
    }
}

TEST_CASE ("a node knows exactly the listed replicas of 10,000 stores, or that its list isn't whole")
{
    constexpr auto stores = 10'000U;
    auto whole = 0U;
    auto partial = 0U;

    for (auto seed = 0U; seed < stores; ++seed)
    {
        CAPTURE (seed);
        PagedStore store (seed);
        ListingNode node;
        const auto fault = std::exchange (store.fault, PageFault::none);
        REQUIRE (node.list (store).isWhole);
        node.watch (store);
        REQUIRE (node.known() == store.replicas());

        // Changes that no watch has returned.
        for (auto changes = store.random() % 8; changes > 0; --changes)
            store.change();

        const auto knownBefore = node.known();
        FollowingDirectory follower;
        follower.directory = node.state.directory;
        store.onPage = [&] { follower.follow (node.state.directory); };
        store.fault = fault;
        store.calls = 0;
        const auto reason = store.random() % 2 == 0 ? ListReason::check : ListReason::afterGap;
        const auto end = node.list (store, reason);
        // Each page but the last holds an item, and entries may be added meanwhile.
        CHECK (store.calls <= store.items.size() + store.events.size() + 2);
        node.watch (store);
        CHECK (node.state.directory.isPartial == (reason == ListReason::afterGap && ! end.isWhole));
        follower.follow (node.state.directory);
        CHECK ((! follower.isComplete || ! node.state.directory.isPartial));

        if (follower.isComplete)
            REQUIRE (keysOf (follower.directory) == store.replicas());

        if (end.isWhole || reason == ListReason::check)
        {
            ++whole;
            REQUIRE (node.known() == store.replicas());
            continue;
        }

        ++partial;
        const auto present = store.replicas();

        for (const auto& key : knownBefore)
            if (present.contains (key))
                REQUIRE (node.known().contains (key));

        store.fault = PageFault::none;
        store.onPage = {};
        REQUIRE (node.list (store).isWhole);
        node.watch (store);
        REQUIRE (node.known() == store.replicas());
    }

    CHECK (whole > stores / 3);
    CHECK (partial > stores / 10);
}

TEST_CASE ("a list goes on after a page that failed, and ends early after four failures in a row")
{
    PagedStore store (3);
    store.fault = PageFault::none;
    store.changesPerCall = 0;
    store.pageItems = 2;

    while (store.replicas().size() < 8)
        store.change();

    ListingNode node;
    auto face = store.face();
    auto calls = 0;
    auto failing = std::set<int>();
    face.listPage = [&] (std::string, std::string after, ReadFreshness) -> Task<ReadItems>
    {
        if (failing.contains (++calls))
            co_return ReadItems { StoreOutcome::unavailable, {}, 0 };

        co_return store.answer (after);
    };
    const auto list = [&]
    {
        ListEnd end;
        calls = 0;
        asio::co_spawn (
            node.loop,
            [&]() -> Task<void>
            { end = co_await listReplicas (node.state, face, node.formats, ListReason::afterGap); },
            asio::detached);
        node.loop.restart();
        node.loop.run();
        return end;
    };

    failing = { 2, 3, 4, 5 };
    const auto cut = list();
    CHECK_FALSE (cut.isWhole);
    CHECK (cut.outcome == StoreOutcome::unavailable);
    CHECK (cut.pages == 1);
    CHECK (calls == 5);
    CHECK (node.state.directory.isPartial);
    CHECK_FALSE (node.state.storeUpdates.ownDirectoryProvenAt > longAgo);

    failing = { 2, 3, 4, 6 };
    const auto whole = list();
    CHECK (whole.isWhole);
    CHECK (node.known() == store.replicas());
    CHECK_FALSE (node.state.directory.isPartial);
    CHECK (node.state.storeUpdates.ownDirectoryProvenAt > longAgo);

    // Without any page there is no list.
    failing = { 1 };
    const auto none = list();
    CHECK (calls == 1);
    CHECK (none.pages == 0);
    CHECK (node.known() == store.replicas());
    CHECK_FALSE (node.state.directory.isPartial);
}

TEST_CASE ("changes during a list of more than a second are applied, since the store forgets them")
{
    for (const auto reason : { ListReason::afterGap, ListReason::check })
    {
        PagedStore store (5);
        store.fault = PageFault::none;
        store.changesPerCall = 1;
        store.pageItems = 4;

        while (store.replicas().size() < 12)
            store.change();

        ListingNode node;
        REQUIRE (node.list (store).isWhole);
        node.watch (store);
        auto face = store.face();
        face.listPage = [&] (std::string, std::string after, ReadFreshness) -> Task<ReadItems>
        {
            co_await pauseFor (node.loop, 400ms);
            co_return store.answer (after);
        };
        auto watchedAfter = std::vector<std::uint64_t>();
        face.watch = [&] (std::string, std::uint64_t after, WatchTimes) -> Task<ReadItems>
        {
            watchedAfter.push_back (after);
            co_return store.changesAfter (after);
        };
        const auto before = store.revision;
        asio::co_spawn (
            node.loop,
            [&]() -> Task<void>
            { CHECK ((co_await listReplicas (node.state, face, node.formats, reason)).isWhole); },
            asio::detached);
        node.loop.restart();
        node.loop.run();
        REQUIRE_FALSE (watchedAfter.empty());
        CHECK (watchedAfter.front() == before);
        CHECK (node.state.directory.revision > before);
        node.watch (store);
        CHECK (node.known() == store.replicas());
    }
}

TEST_CASE ("a node whose own list was cut short isn't proven complete by changes from others")
{
    auto follower = tests::makeStoreView (false);
    auto reader = tests::makeStoreView (true);
    const auto now = tests::start + 10s;
    reader.storeUpdates.ownDirectoryProvenAt = now;
    follower.storeUpdates.provenAt = longAgo;
    follower.directory.isPartial = true;
    const auto ask = [&]
    {
        const auto query = makeStoreUpdateQuery (follower.storeUpdates, follower.directory, "follower", now);
        auto response = makeStoreUpdateResponse (query, reader.storeUpdates, reader.configuration,
                                                 reader.directory, "reader", now);
        applyStoreUpdateResponse (follower.storeUpdates, follower.configuration, follower.directory,
                                  std::move (response), now);
    };
    ask();
    CHECK (follower.storeUpdates.provenAt == longAgo);
    CHECK (mustQueryStore (follower.storeUpdates, now));

    SECTION ("a snapshot completes it")
    {
        beginSnapshot (follower.storeUpdates, follower.directory);
        ask();
        CHECK_FALSE (follower.directory.isPartial);
        CHECK (follower.storeUpdates.provenAt == now);
        CHECK (follower.directory.entries.size() == reader.directory.entries.size());
    }

    SECTION ("a reader's that isn't whole doesn't")
    {
        reader.directory.isPartial = true;
        beginSnapshot (follower.storeUpdates, follower.directory);
        ask();
        CHECK (follower.directory.isPartial);
        CHECK (follower.storeUpdates.provenAt == longAgo);
        CHECK (follower.storeUpdates.awaitsSnapshot);
    }
}

TEST_CASE ("a change that a check shows as missed is recorded though the check was cut short")
{
    ReplicaDirectory directory;
    applyList (directory, { { tests::replicaEntry ("one", 3) }, {} }, 10, tests::start);
    auto leaving = tests::replicaEntry ("one", 8);
    leaving.isLeaving = true;
    DirectoryList check { ListReason::check, 12 };
    applyPage (directory, check, { { leaving }, {} }, tests::start);
    endPartialList (directory, check);
    CHECK (directory.missedChanges == 1);
    CHECK (directory.revision == 10);
    CHECK_FALSE (directory.isPartial);
}

TEST_CASE ("a list that isn't whole is no complete directory for other nodes")
{
    ReplicaDirectory directory;
    DirectoryList list { ListReason::afterGap, 9 };
    applyPage (directory, list, { { tests::replicaEntry ("one", 3) }, {} }, tests::start);
    endPartialList (directory, list);
    CHECK (directory.entries.size() == 1);
    CHECK_FALSE (changesAfter (directory, 9, 1000).isComplete);

    DirectoryList whole { ListReason::afterGap, 10 };
    applyPage (directory, whole, { { tests::replicaEntry ("one", 3) }, {} }, tests::start);
    applyPage (directory, whole, { { tests::replicaEntry ("two", 4) }, {} }, tests::start);
    endList (directory, whole, tests::start);
    CHECK (directory.entries.size() == 2);
    CHECK (changesAfter (directory, 10, 1000).isComplete);
}

namespace
{

/** @returns a store without faults and changes, with that many replicas and as many foreign entries. */
auto steadyStore (unsigned replicas, std::size_t pageItems) -> PagedStore
{
    PagedStore store (0);
    store.items.clear();
    store.events.clear();
    store.fault = PageFault::none;
    store.changesPerCall = 0;
    store.pageItems = pageItems;

    for (auto number = 0U; number < replicas; ++number)
        for (const auto value : { replicaValue, std::string_view ("foreign") })
        {
            const auto key = std::string (prefix) + std::to_string (number) + std::string (value);
            store.items[key] = { key, std::string (value), ++store.revision, 0, false };
        }

    return store;
}

/** A store that rejects some of its calls for pages. */
struct RejectingStore
{
    auto face() -> StateStore
    {
        StateStore face;
        face.listPage = [this] (std::string, std::string after, ReadFreshness) -> Task<ReadItems>
        {
            listsBegun += after.empty() ? 1 : 0;

            if (++calls > callsBefore && calls <= callsBefore + rejections)
                co_return ReadItems { StoreOutcome::unavailable, {}, 0 };

            co_return store.answer (after);
        };
        face.watch = [this] (std::string, std::uint64_t, WatchTimes times) -> Task<ReadItems>
        {
            co_await pauseFor (*loop, times.wait);
            co_return ReadItems { StoreOutcome::done, {}, store.revision };
        };
        return face;
    }

    auto list (ListingNode& node) -> ListEnd
    {
        ListEnd end;
        const auto client = face();
        asio::co_spawn (
            node.loop,
            [&]() -> Task<void>
            { end = co_await listReplicas (node.state, client, node.formats, ListReason::afterGap); },
            asio::detached);
        node.loop.run();
        return end;
    }

    PagedStore store = steadyStore (4, 2);
    /** The calls before the first one that is rejected. */
    std::size_t callsBefore = 2;
    std::size_t rejections = 0;
    std::size_t calls = 0;
    std::size_t listsBegun = 0;
    asio::io_context* loop = nullptr;
};

constexpr auto always = std::size_t { 1'000'000 };

} // namespace

TEST_CASE ("a list goes on where it was after up to three rejected calls for a page, and doesn't begin anew")
{
    RejectingStore store;
    store.rejections = 3;
    ListingNode node;
    const auto end = store.list (node);
    CHECK (end.isWhole);
    CHECK (end.pages == 4);
    CHECK (store.calls == 4 + 3);
    CHECK (store.listsBegun == 1);
    CHECK (node.known() == store.store.replicas());
    CHECK_FALSE (node.state.directory.isPartial);
}

TEST_CASE ("a list whose calls go on being rejected ends after four, and the replicas until there are used")
{
    RejectingStore store;
    store.rejections = always;
    ListingNode node;
    const auto end = store.list (node);
    CHECK_FALSE (end.isWhole);
    CHECK (end.outcome == StoreOutcome::unavailable);
    CHECK (end.pages == 2);
    CHECK (store.calls == 2 + 4);
    CHECK (store.listsBegun == 1);
    CHECK (node.known().size() == 2);
    CHECK (node.state.directory.isPartial);
}

TEST_CASE ("a list whose first call is rejected ends there")
{
    RejectingStore store;
    store.callsBefore = 0;
    store.rejections = always;
    ListingNode node;
    const auto end = store.list (node);
    CHECK_FALSE (end.isWhole);
    CHECK (end.pages == 0);
    CHECK (store.calls == 1);
}

TEST_CASE ("a list that was cut short isn't followed by the next one at once")
{
    RejectingStore store;
    ListingNode node;
    // The first list of a node is one page only.
    store.callsBefore = 1 + 2;
    store.rejections = always;
    store.loop = &node.loop;
    node.state.storeUpdates.isReader = true;
    node.state.storeUpdates.domainMembers = 1;
    node.state.sharing.members = 1;
    node.state.configuration.current = std::make_shared<RoutingConfiguration>();
    const auto face = store.face();
    asio::co_spawn (node.loop, followReplicas (node.state, face, node.formats), asio::detached);
    // The list ends after three pauses of 0.25 s, and the next one follows a second later.
    node.loop.run_for (1600ms);
    CHECK (store.calls == 1 + 2 + 4);
    CHECK (store.listsBegun == 2);
    CHECK (node.known().size() == 2);
}

TEST_CASE ("a store of 2,996 replicas and as many foreign entries, one on a page, is read whole in one list")
{
    constexpr auto replicas = 2'996U;
    auto store = steadyStore (replicas, 1);
    ListingNode node;
    const auto end = node.list (store);
    CHECK (end.isWhole);
    CHECK (end.pages == 2 * std::size_t { replicas });
    CHECK (store.calls == 2 * std::size_t { replicas });
    CHECK (node.known() == store.replicas());
    CHECK (node.known().size() == replicas);
}
