#include "snowrudder_serving/members/MemberKey.h"
#include "snowrudder_serving/members/Membership.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace snowrudder;

namespace
{

/** An in-memory store that responds at once and counts calls. */
struct CountingStore
{
    auto face() -> StateStore
    {
        StateStore store;
        store.listPage = [this] (std::string prefix, std::string, ReadFreshness) -> Task<ReadItems>
        {
            ++lists;
            listedPrefixes.push_back (prefix);
            ReadItems read { StoreOutcome::done, {}, 1 };

            if (areListsRejected)
                read.outcome = StoreOutcome::unavailable;

            for (const auto& [key, value] : items)
                if (key.starts_with (prefix))
                    read.items.push_back ({ key, value, 1, leaseOfItems, false });

            co_return read;
        };
        store.read = [this] (std::string key, ReadFreshness) -> Task<ReadItems>
        {
            ++reads;
            ReadItems read { StoreOutcome::refused, {}, 1 };

            if (const auto found = items.find (key); found != items.end())
            {
                read.outcome = StoreOutcome::done;
                read.items.push_back ({ key, found->second, 1, 0, false });
            }

            co_return read;
        };
        store.renewLease = [this] (std::uint64_t lease) -> Task<StoreOutcome>
        {
            ++renewals;
            co_return lease == leaseOfItems&& isLeaseAlive ? StoreOutcome::done : StoreOutcome::refused;
        };
        store.commit = [this] (StoreTransaction transaction) -> Task<TransactionResult>
        {
            ++transactions;

            for (const auto& put : transaction.puts)
                items[put.key] = put.value;

            co_return TransactionResult { StoreOutcome::done, 2, {} };
        };
        store.grantLease = [this] (Duration length) -> Task<GrantedLease>
        {
            ++leases;
            co_return GrantedLease { StoreOutcome::done, 1, length };
        };
        return store;
    }

    std::map<std::string, std::string> items;
    /** The lease of all items. */
    std::uint64_t leaseOfItems = 7;
    bool isLeaseAlive = true;
    bool areListsRejected = false;
    std::vector<std::string> listedPrefixes;
    unsigned lists = 0;
    unsigned reads = 0;
    unsigned renewals = 0;
    unsigned transactions = 0;
    unsigned leases = 0;
};

/** A node that runs its membership for some time. */
struct JoiningNode
{
    explicit JoiningNode (CountingStore& store,
                          std::chrono::milliseconds duration = 100ms,
                          const ServingSettings& nodeSettings = settings())
        : face (store.face()), state (loop, nodeSettings), membership (state, face)
    {
        asio::co_spawn (loop, membership.follow(), asio::detached);
        loop.run_for (duration);
    }

    static auto settings() -> ServingSettings
    {
        ServingSettings made;
        made.node = "node-1";
        made.failureDomain = "north";
        made.failureDomainCount = 6;
        made.listenPeers = "127.0.0.1:4001";
        return made;
    }

    asio::io_context loop;
    StateStore face;
    ServingState state;
    Membership membership;
};

} // namespace

TEST_CASE (
    "no name of a node or a failure domain makes a key that is another one's, or too long for the store")
{
    const auto longName = std::string (256, 'x');
    const auto odd =
        std::vector<std::string> { "",     "%", "%25", "a/b", "a%2Fb", "a+b",    "a b",
                                   "\xff", "é", "/",   "..",  "%%",    longName, longName + "y" };
    std::set<std::string> parts;

    for (const auto& name : odd)
    {
        const auto part = memberKeyPart (name);
        INFO (name << " " << part);
        CHECK (parts.insert (part).second);
        CHECK (part.size() <= 80);
        CHECK (part.find ('/') == std::string::npos);
    }

    CHECK (memberKeyPart ("front-hall-a_1.x~") == "front-hall-a_1.x~");
}

TEST_CASE ("a restarted node reads the secret and the members, and writes only its entry")
{
    // Otherwise hundreds of nodes that restart at once each make a write to obtain a secret that already exists.
    CountingStore store;
    store.items = { { "snowrudder/secret", "agreed" },
                    { "snowrudder/leader", "node-2" },
                    { "snowrudder/members/north/node-2", "127.0.0.1:4002 north" },
                    { "snowrudder/members/south/node-3", "127.0.0.1:4003 south" } };

    const JoiningNode node (store);
    CHECK (node.membership.secret() == "agreed");
    CHECK (store.reads == 1);
    CHECK (node.membership.others().size() == 2);
    CHECK (node.state.memberCount() == 3);
    CHECK (store.transactions == 1);
    CHECK (store.leases == 1);
    CHECK (store.items.at ("snowrudder/members/north/node-1") == "127.0.0.1:4001 north");
}

TEST_CASE ("a node that restarts before its entry has expired renews its lease")
{
    CountingStore store;
    store.items = { { "snowrudder/secret", "agreed" },
                    { "snowrudder/members/north/node-1", "127.0.0.1:4001 north" } };

    {
        const JoiningNode node (store);
        CHECK (store.renewals == 1);
        CHECK (store.leases == 0);
        CHECK (store.transactions == 0);
    }

    // The list was stale: the lease has ended since.
    store.isLeaseAlive = false;
    const JoiningNode node (store);
    CHECK (store.renewals == 2);
    CHECK (store.leases == 1);
    CHECK (store.transactions == 1);

    // The earlier process listened on another address.
    store.isLeaseAlive = true;
    store.items["snowrudder/members/north/node-1"] = "127.0.0.1:5001 north";
    const JoiningNode moved (store);
    CHECK (store.leases == 2);
    CHECK (store.items.at ("snowrudder/members/north/node-1") == "127.0.0.1:4001 north");
}

TEST_CASE ("the first node of a fleet proposes a secret")
{
    CountingStore store;
    const JoiningNode node (store);
    CHECK_FALSE (node.membership.secret().empty());
    CHECK (store.items.at ("snowrudder/secret") == node.membership.secret());
    CHECK (node.membership.others().empty());
    CHECK (node.state.memberCount() == 1);
    CHECK (store.transactions == 2);
}

namespace
{

/** Adds nodes of the failure domain "north", with the secret and one node of another failure domain. */
auto addDomain (CountingStore& store, std::size_t nodes) -> void
{
    constexpr auto firstPort = std::size_t { 5000 };
    store.items["snowrudder/secret"] = "agreed";
    store.items["snowrudder/members/south/other"] = "127.0.0.1:4999 south";

    for (auto number = std::size_t { 0 }; number < nodes; ++number)
        store.items["snowrudder/members/north/other-" + std::to_string (number)] =
            "127.0.0.1:" + std::to_string (firstPort + number) + " north";
}

} // namespace

TEST_CASE ("a node of a large failure domain lists only this one and asks its readers for the rest")
{
    // If a thousand nodes that start together listed all members, the store's link would be full for seconds.
    CountingStore store;
    addDomain (store, maxFullyListedDomain + 60);
    const JoiningNode node (store, 900ms);
    REQUIRE_FALSE (store.listedPrefixes.empty());

    for (const auto& prefix : store.listedPrefixes)
        CHECK (prefix == "snowrudder/members/north/");

    CHECK (store.lists <= 3);
    CHECK (reliesOnReaders (node.state.storeUpdates));
    CHECK (node.membership.ownReaders().size() == 4);
    CHECK (node.membership.ownCollectors().size() == 2);
    CHECK (node.membership.otherReaders().empty());
    CHECK (node.state.memberCount() == 6 * (maxFullyListedDomain + 61));
    CHECK (store.transactions == 1);
}

TEST_CASE ("a node of a failure domain that isn't large lists all members")
{
    CountingStore store;
    addDomain (store, maxFullyListedDomain - 1);
    const JoiningNode node (store);
    CHECK_FALSE (reliesOnReaders (node.state.storeUpdates));
    CHECK (node.state.memberCount() == maxFullyListedDomain + 1);
    CHECK (node.membership.otherReaders().size() == 1);
}

TEST_CASE ("a reader of a large failure domain lists all members")
{
    CountingStore store;
    addDomain (store, maxFullyListedDomain);
    // With so many nodes there are three readers; this node's name is chosen if the others' hashes are greater.
    std::erase_if (store.items,
                   [] (const auto& item)
                   {
                       return item.first.starts_with ("snowrudder/members/north/other-") &&
                              hashBytes (item.first.substr (item.first.rfind ('/') + 1)) <
                                  hashBytes ("node-1");
                   });

    for (auto number = 1000; store.items.size() < maxFullyListedDomain + 3; ++number)
        if (const auto name = "other-" + std::to_string (number); hashBytes (name) > hashBytes ("node-1"))
            store.items["snowrudder/members/north/" + name] =
                "127.0.0.1:" + std::to_string (5000 + number) + " north";

    const JoiningNode node (store, 900ms);
    CHECK (node.state.storeUpdates.isReader);
    CHECK (node.membership.otherReaders().size() == 1);
    CHECK (node.state.memberCount() == maxFullyListedDomain + 3);
}

TEST_CASE ("a node's entry is renewed while the store turns its lists away")
{
    CountingStore store;
    addDomain (store, 3);
    store.items["snowrudder/members/north/node-1"] = "127.0.0.1:4001 north";
    JoiningNode node (store);
    CHECK (store.renewals == 1);
    store.areListsRejected = true;
    node.loop.run_for (4500ms);
    CHECK (store.renewals == 2);
}

TEST_CASE ("the first node of a failure domain counts its nodes after the others had time to register")
{
    CountingStore store;
    store.items["snowrudder/secret"] = "agreed";
    JoiningNode node (store, 50ms);
    CHECK (store.leases == 1);
    CHECK_FALSE (node.state.storeUpdates.domainMembers);
    addDomain (store, maxFullyListedDomain + 10);
    node.loop.run_for (600ms);
    CHECK (reliesOnReaders (node.state.storeUpdates));
}

TEST_CASE ("nodes of a fleet that starts for the first time register themselves at different moments")
{
    CountingStore store;
    store.items["snowrudder/secret"] = "agreed";
    auto settings = JoiningNode::settings();
    settings.isFleetStart = true;
    constexpr auto nodes = 40U;
    std::vector<std::unique_ptr<JoiningNode>> started;
    started.reserve (nodes);

    for (auto number = 0U; number < nodes; ++number)
        started.push_back (std::make_unique<JoiningNode> (store, 0ms, settings));

    auto runAll = [&started] (std::chrono::milliseconds duration)
    {
        for (auto& node : started)
            node->loop.run_for (duration);
    };

    runAll (10ms);
    CHECK (store.leases < nodes / 2);
}
