#include "ServingFixtures.h"

#include "snowrudder_serving/store/StoreFollowers.h"

#include <catch2/catch.hpp>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

/** A node that others read the store for, which has configuration 5 and has heard of 9, and a store that counts its calls. */
struct FollowerNode
{
    /** @param oldRevision  of the configuration in the store's old copy; 0 where the store turns this node away */
    explicit FollowerNode (std::uint64_t oldRevision) : state (loop, ServingSettings())
    {
        const auto now = SteadyClock::now();
        state.news.isReader = false;
        state.news.provenAt = now;
        state.news.newestConfiguration = 9;
        state.configuration.current = configurationAt (5);
        state.configuration.provenAt = now;

        formats.readConfiguration = [] (const StoredItem& item)
        { return std::make_shared<RoutingConfiguration> (*configurationAt (item.revision)); };

        store.read = [this, oldRevision] (std::string, ReadFreshness age) -> Task<ReadItems>
        {
            CHECK (age == ReadFreshness::secondsOld);
            ++oldReads;

            if (oldRevision == 0)
                co_return ReadItems { StoreOutcome::unavailable, {}, 0 };

            co_return ReadItems { StoreOutcome::done,
                                  { { "config", "", oldRevision, 0, false } },
                                  oldRevision };
        };
        store.commit = [this] (StoreTransaction) -> Task<TransactionResult>
        {
            ++transactions;
            co_return TransactionResult { StoreOutcome::refused, 0, { { "config", "", 9, 0, false } } };
        };

        asio::co_spawn (loop, followConfiguration (state, store, formats, [] {}), asio::detached);
        loop.run_for (50ms);
    }

    asio::io_context loop;
    ServingState state;
    StoreFormats formats;
    StateStore store;
    unsigned oldReads = 0;
    unsigned transactions = 0;
};

} // namespace

TEST_CASE ("a configuration that was heard of is read from an old copy where that is new enough")
{
    const FollowerNode node (9);
    CHECK (node.oldReads == 1);
    CHECK (node.transactions == 0);
    CHECK (node.state.configuration.current->revision == 9);
    // An old copy is no proof: nobody knows what has been written since.
    CHECK (node.state.news.ownProvenAt == TimePoint());
}

TEST_CASE ("where the old copy is too old the newest configuration is asked for at once")
{
    const FollowerNode node (6);
    CHECK (node.oldReads == 1);
    CHECK (node.transactions == 1);
    CHECK (node.state.configuration.current->revision == 9);
}

TEST_CASE ("a node that the store turns away does not ask it twice at once for a configuration")
{
    const FollowerNode node (0);
    CHECK (node.oldReads == 1);
    CHECK (node.transactions == 0);
    CHECK (node.state.configuration.current->revision == 5);
}
