#include "snowrudder_serving/members/Membership.h"

#include <catch2/catch.hpp>

#include <map>

using namespace snowrudder;

namespace
{

/** An in-memory store that responds at once and counts calls. */
struct CountingStore
{
    auto face() -> StateStore
    {
        StateStore store;
        store.list = [this] (std::string prefix, ReadFreshness) -> Task<ReadItems>
        {
            ++lists;
            ReadItems read { StoreOutcome::done, {}, 1 };

            for (const auto& [key, value] : items)
                if (key.starts_with (prefix))
                    read.items.push_back ({ key, value, 1, leaseOfItems, false });

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
    unsigned lists = 0;
    unsigned renewals = 0;
    unsigned transactions = 0;
    unsigned leases = 0;
};

/** A node that runs its membership for 100 ms. */
struct JoiningNode
{
    explicit JoiningNode (CountingStore& store)
        : face (store.face()), state (loop, settings()), membership (state, face)
    {
        asio::co_spawn (loop, membership.follow(), asio::detached);
        loop.run_for (100ms);
    }

    static auto settings() -> ServingSettings
    {
        ServingSettings made;
        made.node = "node-1";
        made.failureDomain = "north";
        made.listenPeers = "127.0.0.1:4001";
        return made;
    }

    asio::io_context loop;
    StateStore face;
    ServingState state;
    Membership membership;
};

} // namespace

TEST_CASE ("a restarted node reads the secret and the members by one list, and writes only its entry")
{
    // Otherwise hundreds of nodes that restart at once each make a write to obtain a secret that already exists.
    CountingStore store;
    store.items = { { "snowrudder/secret", "agreed" },
                    { "snowrudder/leader", "node-2" },
                    { "snowrudder/members/node-2", "127.0.0.1:4002 north" },
                    { "snowrudder/members/node-3", "127.0.0.1:4003 south" } };

    const JoiningNode node (store);
    CHECK (node.membership.secret() == "agreed");
    CHECK (node.membership.others().size() == 2);
    CHECK (node.state.memberCount() == 3);
    CHECK (store.transactions == 1);
    CHECK (store.leases == 1);
    CHECK (store.items.at ("snowrudder/members/node-1") == "127.0.0.1:4001 north");
}

TEST_CASE ("a node that restarts before its entry has expired renews its lease")
{
    CountingStore store;
    store.items = { { "snowrudder/secret", "agreed" },
                    { "snowrudder/members/node-1", "127.0.0.1:4001 north" } };

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
    store.items["snowrudder/members/node-1"] = "127.0.0.1:5001 north";
    const JoiningNode moved (store);
    CHECK (store.leases == 2);
    CHECK (store.items.at ("snowrudder/members/node-1") == "127.0.0.1:4001 north");
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
