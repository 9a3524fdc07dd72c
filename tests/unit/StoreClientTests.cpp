#include "platform/Documents.h"
#include "platform/StoreClient.h"
#include "platform/WireNames.h"
#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_serving/store/ReplicaListing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <string>
#include <vector>

using namespace snowrudder;

namespace
{

/** An entry as the store sends it, and the bytes of its key, which decide its place in lists. */
struct WireEntry
{
    std::string key;
    std::string text;
};

/** A replica's value in Base64. */
const auto replicaValue =
    std::string ("eyJzZXJ2aWNlIjoic3ZjIiwiYWRkcmVzcyI6IjEyNy4wLjAuMTo4MCIsInpvbmUiOiJhIiwic2xvdHMiOj"
                 "gsInN0YXRlIjoicmVhZHkifQ==");

/** @returns an entry whose members are given as JSON. */
auto entryOf (const std::string& name,
              const std::string& key,
              const std::string& value,
              const std::string& revision) -> WireEntry
{
    return { std::string (platform::store::replicaPrefix) + name,
             R"({"key":)" + key + R"(,"value":)" + value + R"(,"revision":)" + revision + R"(,"lease":0})" };
}

auto quoted (const std::string& text) -> std::string
{
    return '"' + text + '"';
}

auto replica (const std::string& name) -> WireEntry
{
    return entryOf (name, quoted (std::string (platform::store::replicaPrefix) + name), quoted (replicaValue),
                    "5");
}

auto unescaped (std::string_view text) -> std::string
{
    std::string bytes;

    for (auto place = std::size_t { 0 }; place < text.size(); ++place)
    {
        if (text[place] != '%')
        {
            bytes += text[place];
            continue;
        }

        auto code = 0U;
        std::from_chars (text.data() + place + 1, text.data() + place + 3, code, 16);
        bytes += static_cast<char> (code);
        place += 2;
    }

    return bytes;
}

/** A store on a socket of its own. */
struct WireStore
{
    WireStore()
        : acceptor (loop, tcp::endpoint (asio::ip::address_v4::loopback(), 0)), pool (loop.get_executor())
    {
        asio::co_spawn (loop, accept(), asio::detached);
    }

    auto accept() -> Task<void>
    {
        for (;;)
            asio::co_spawn (loop, serve (co_await acceptor.async_accept (asio::use_awaitable)),
                            asio::detached);
    }

    auto serve (tcp::socket socket) -> Task<void>
    {
        boost::beast::flat_buffer buffer;

        for (;;)
        {
            http::request<http::string_body> request;
            co_await http::async_read (socket, buffer, request, asio::use_awaitable);
            const auto target = std::string (request.target());
            targets.push_back (target);
            const auto isWatch = target.starts_with (platform::store::watchPath);

            if (isWatch && target.find ("&after=" + std::to_string (revision) + "&") != std::string::npos)
                co_await pauseFor (loop, watchWait);

            http::response<http::string_body> response (http::status::ok, 11);
            response.body() = isWatch ? watchAnswer : pageAnswer ? *pageAnswer : page (target);
            response.prepare_payload();
            co_await http::async_write (socket, response, asio::use_awaitable);
        }
    }

    auto page (const std::string& target) const -> std::string
    {
        const auto at = target.find (platform::store::afterParameter);
        const auto after = at == std::string::npos
                               ? std::string()
                               : unescaped (target.substr (at + platform::store::afterParameter.size()));
        std::string items;
        auto count = std::size_t { 0 };
        auto hasMore = false;

        for (const auto& entry : entries)
        {
            if (! after.empty() && entry.key <= after)
                continue;

            if (count == pageItems)
            {
                hasMore = true;
                break;
            }

            items += (count++ > 0 ? "," : "") + entry.text;
        }

        return R"({"items":[)" + items + R"(],"more_pages":)" + (hasMore ? "true" : "false") +
               R"(,"store_revision":)" + std::to_string (revision) + "}";
    }

    auto run (const std::function<Task<void> (const StateStore&)>& work) -> void
    {
        const auto client = platform::storeClient (pool, acceptor.local_endpoint());
        asio::co_spawn (loop, work (client),
                        [this] (const std::exception_ptr& fault)
                        {
                            CHECK_FALSE (fault);
                            loop.stop();
                        });
        loop.restart();
        loop.run_for (10s);
    }

    asio::io_context loop;
    tcp::acceptor acceptor;
    ConnectionPool pool;
    std::vector<WireEntry> entries;
    std::size_t pageItems = 500;
    std::uint64_t revision = 9;
    /** How long a watch from the current revision on waits. */
    Duration watchWait {};
    std::string watchAnswer;
    /** Sent in place of each page. */
    std::optional<std::string> pageAnswer;
    std::vector<std::string> targets;
};

/** What a node knows after a list of the replicas. */
struct Listed
{
    ListEnd end;
    std::set<std::string> names;
    std::size_t calls = 0;
};

auto listFrom (std::vector<WireEntry> entries, std::size_t pageItems) -> Listed
{
    WireStore store;
    std::ranges::sort (entries, {}, &WireEntry::key);
    store.entries = std::move (entries);
    store.pageItems = pageItems;
    ServingState state (store.loop, ServingSettings());
    StoreFormats formats;
    formats.replicaPrefix = platform::store::replicaPrefix;
    formats.readReplica = platform::readReplica;
    Listed listed;
    store.run ([&] (const StateStore& client) -> Task<void>
               { listed.end = co_await listReplicas (state, client, formats, ListReason::afterGap); });

    for (const auto& [key, entry] : state.directory.entries)
        listed.names.insert (entry.info.name);

    listed.calls = store.targets.size();
    return listed;
}

const auto soundNames = std::set<std::string> { "a1", "m1", "z1" };

auto soundReplicas() -> std::vector<WireEntry>
{
    std::vector<WireEntry> entries;
    entries.reserve (soundNames.size());

    for (const auto& name : soundNames)
        entries.push_back (replica (name));

    return entries;
}

/** @returns entries that can't be used but have a readable key. */
auto unusableEntries() -> std::vector<WireEntry>
{
    const auto key = quoted ("servers/k1");
    const auto nested = std::string (100, '[') + std::string (100, ']');
    std::vector<WireEntry> entries;

    for (const auto& value :
         { std::string ("{}"), std::string ("7"), std::string ("null"), std::string ("1e999999"),
           std::string ("-"), std::string ("\"\\x\""), std::string ("\"\xff\""), std::string (R"("\ud800")"),
           quoted ("no base64"), nested })
        entries.push_back (entryOf ("k1", key, value, "5"));

    for (const auto* revision :
         { "-5", "5.5", "\"5\"", "1e999999", "null", "{}", "18446744073709551616", "-" })
        entries.push_back (entryOf ("k1", key, quoted (replicaValue), revision));

    return entries;
}

/** @returns entries whose keys are the bytes of their place in lists, but no valid UTF-8. */
auto entriesWithOddKeys() -> std::vector<WireEntry>
{
    const auto value = quoted ("e30=");
    return { entryOf ("k\xff", "\"servers/k\xff\"", value, "5"),
             entryOf ("k\xc3", "\"servers/k\xc3\"", value, "5"),
             entryOf ("k\xff", R"("servers/k\udcff")", value, "5"),
             entryOf ("k\x80x", R"("servers/k\uDC80x")", value, "5"),
             entryOf ("k\xed\xa0\x80", R"("servers/k\ud800")", value, "5"),
             entryOf ("k\xed\xa0\x80\xf0\x9f\x98\x80", R"("servers/k\ud800\ud83d\ude00")", value, "5"),
             entryOf ("k\\\xff", R"("servers/k\\\udcff")", value, "5"),
             entryOf ("k\\ud800", R"("servers/k\\ud800")", value, "5") };
}

/** @returns entries whose keys can't be read. */
auto entriesWithoutKeys() -> std::vector<WireEntry>
{
    const auto value = quoted (replicaValue);
    std::vector<WireEntry> entries { { "servers/k1", "7" },
                                     { "servers/k1", "{}" },
                                     { "servers/k1", R"({"value":"e30=","revision":5})" },
                                     { "servers/k1", "nonsense" } };

    for (const auto* key : { "7", "null", "{}", "\"\"", "\"\\x\"", "1e999999" })
        entries.push_back (entryOf ("k1", key, value, "5"));

    return entries;
}

} // namespace

TEST_CASE ("an entry that can't be used keeps no other replica of its list from the node")
{
    auto odd = unusableEntries();
    std::ranges::move (entriesWithOddKeys(), std::back_inserter (odd));

    for (const auto& entry : odd)
        for (const auto pageItems : { std::size_t { 1 }, std::size_t { 2 }, std::size_t { 500 } })
        {
            CAPTURE (entry.text, pageItems);
            auto entries = soundReplicas();
            entries.push_back (entry);
            const auto listed = listFrom (entries, pageItems);
            CHECK (listed.end.isWhole);
            CHECK (listed.names == soundNames);
            CHECK (listed.calls == (entries.size() + pageItems - 1) / pageItems);
        }
}

TEST_CASE ("an entry whose key can't be read keeps no other replica of its page from the node, and no list "
           "goes round")
{
    for (const auto& entry : entriesWithoutKeys())
    {
        CAPTURE (entry.text);
        auto entries = soundReplicas();
        entries.push_back (entry);

        for (const auto pageItems : { std::size_t { 2 }, std::size_t { 3 }, std::size_t { 500 } })
        {
            const auto listed = listFrom (entries, pageItems);
            CHECK (listed.end.isWhole);
            CHECK (listed.names == soundNames);
            CHECK (listed.calls <= 3);
        }

        // Nothing on the page tells where the next one begins.
        const auto listed = listFrom (entries, 1);
        CHECK_FALSE (listed.end.isWhole);
        CHECK (listed.names == std::set<std::string> { "a1" });
        CHECK (listed.calls == 2);
    }
}

TEST_CASE ("a page full of entries that can't be used costs no replica")
{
    auto entries = soundReplicas();
    auto number = 0;

    for (auto odd : { unusableEntries(), entriesWithOddKeys(), entriesWithoutKeys() })
        std::ranges::move (odd, std::back_inserter (entries));

    for (auto& entry : entries)
        entry.key += soundNames.contains (entry.key.substr (platform::store::replicaPrefix.size()))
                         ? std::string()
                         : std::to_string (number++);

    const auto listed = listFrom (entries, 500);
    CHECK (listed.end.isWhole);
    CHECK (listed.names == soundNames);
    CHECK (listed.calls == 1);
}

TEST_CASE ("a response that is no list isn't taken for an empty one, which would remove every replica")
{
    for (const auto* body : { "", "[]", "7", "{}", "{", R"({"items":[)", R"({"items":[{"key":"servers/a"})",
                              "{\"items\":[\"}", R"({"items":{},"store_revision":9})",
                              R"({"items":7,"store_revision":9})", R"({"items":-,"store_revision":9})",
                              R"({"store_revision":9})", R"({"items":[}],"store_revision":9})" })
    {
        CAPTURE (body);
        WireStore store;
        store.pageAnswer = body;
        ReadItems page;
        page.outcome = StoreOutcome::done;
        store.run ([&] (const StateStore& client) -> Task<void>
                   { page = co_await client.listPage ("servers/", {}, ReadFreshness::newest); });
        CHECK (page.outcome == StoreOutcome::unknown);
    }
}

TEST_CASE (
    "changes whose keys can't be read don't hide the others of a watch, and the next watch begins after them")
{
    for (const auto& entry : entriesWithoutKeys())
    {
        CAPTURE (entry.text);
        WireStore store;
        store.watchAnswer =
            R"({"events":[)" + entry.text + "," + replica ("a1").text + R"(],"store_revision":9})";
        ReadItems read;
        store.run (
            [&] (const StateStore& client) -> Task<void> {
                read = co_await client.watch ("servers/", 5, { 100ms, 500ms });
            });
        CHECK (read.outcome == StoreOutcome::done);
        CHECK (read.revision == 9);
        CHECK (read.unreadable == 1);
        REQUIRE (read.items.size() == 1);
        CHECK (read.items.front().key == "servers/a1");
    }
}

namespace
{

/** A node that follows the replicas of a store whose changes since revision 5 are more than a response may have. */
struct FollowingNode
{
    FollowingNode() : state (store.loop, ServingSettings())
    {
        constexpr auto valueBytes = std::size_t { 1'000'000 };
        store.watchAnswer = R"({"events":[)" + replica ("a1").text;

        for (auto number = 0; number < 9; ++number)
            store.watchAnswer +=
                "," + entryOf ("k", quoted ("servers/k"), quoted (std::string (valueBytes, 'A')), "7").text;

        store.watchAnswer += R"(],"store_revision":9})";
        store.entries = soundReplicas();
        store.watchWait = 10s;
        formats.replicaPrefix = platform::store::replicaPrefix;
        formats.readReplica = platform::readReplica;
        state.configuration.current = std::make_shared<RoutingConfiguration>();
        state.sharing.members = 1;
        state.storeUpdates.mustListReplicas = false;
        state.directory.revision = 5;
    }

    auto follow (std::size_t domainMembers) -> void
    {
        state.storeUpdates.isReader = domainMembers == 1;
        state.storeUpdates.domainMembers = domainMembers;
        const auto client = platform::storeClient (store.pool, store.acceptor.local_endpoint());
        asio::co_spawn (store.loop, followReplicas (state, client, formats), asio::detached);
        store.loop.run_for (1s);
    }

    auto callsTo (std::string_view path) const -> std::size_t
    {
        return static_cast<std::size_t> (std::ranges::count_if (
            store.targets, [path] (const std::string& target) { return target.starts_with (path); }));
    }

    WireStore store;
    ServingState state;
    StoreFormats formats;
};

} // namespace

TEST_CASE ("a node that relies on readers doesn't repeat a watch whose changes are too many for a response")
{
    FollowingNode node;
    node.follow (1000);
    CHECK (node.state.storeUpdates.mustListReplicas);
    CHECK (node.callsTo (platform::store::watchPath) == 1);
}

TEST_CASE (
    "a watch whose changes are too many for a response is followed by one list, and by a watch from there on")
{
    FollowingNode node;
    node.store.revision = 5;
    node.store.watchWait = 100ms;
    asio::co_spawn (
        node.store.loop,
        [&]() -> Task<void>
        {
            // After the first list, during the first watch.
            co_await pauseFor (node.store.loop, 50ms);
            node.store.revision = 9;
            node.store.watchWait = 10s;
        },
        asio::detached);
    node.follow (1);
    CHECK (node.state.directory.revision == 9);
    CHECK (node.state.directory.entries.size() == soundNames.size());
    CHECK (node.callsTo (platform::store::rangePath) == 2);
    CHECK (node.callsTo (std::string (platform::store::watchPath) + "servers/&after=5") == 1);
    CHECK (node.callsTo (std::string (platform::store::watchPath) + "servers/&after=9") == 1);
}
