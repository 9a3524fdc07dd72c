#include "ServingFixtures.h"

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

/** The store of a randomised run: replicas are added and removed, and each change has its own revision. */
struct StoreModel
{
    struct Change
    {
        std::string name;
        std::uint64_t revision = 0;
        bool isRemoval = false;
        bool isLeaving = false;
    };

    /** Changes a replica's entry: one that exists begins to leave, is removed or written again. */
    auto change (const std::string& name, bool comesBack, bool leaves) -> void
    {
        const auto exists = stored.contains (name);
        const auto isLeaving = exists && leaves;
        const auto isRemoval = exists && ! leaves && ! comesBack;
        stored.erase (name);
        ++revision;

        if (! isRemoval)
            stored[name] = { revision, isLeaving };

        changes.push_back ({ name, revision, isRemoval, isLeaving });
    }

    static auto entryOf (const std::string& name, std::uint64_t at, bool isLeaving) -> DirectoryEntry
    {
        auto entry = replicaEntry (name, at);
        entry.isLeaving = isLeaving;
        return entry;
    }

    /** Applies the changes that a watch sends. */
    auto watchInto (ReplicaDirectory& directory, TimePoint now) const -> void
    {
        for (const auto& made : changes)
            if (made.revision > directory.revision && made.isRemoval)
                applyRemoval (directory, "replicas/" + made.name, { made.revision, false }, now);
            else if (made.revision > directory.revision)
                applyEntry (directory, entryOf (made.name, made.revision, made.isLeaving));

        directory.revision = revision;
    }

    auto listInto (ReplicaDirectory& directory, TimePoint now, ListReason reason) const -> void
    {
        std::vector<DirectoryEntry> listed;

        for (const auto& [name, written] : stored)
            listed.push_back (entryOf (name, written.revision, written.isLeaving));

        applyList (directory, { std::move (listed), {} }, revision, now, reason);
    }

    struct Written
    {
        std::uint64_t revision = 0;
        bool isLeaving = false;
    };

    std::map<std::string, Written> stored { { "one", { 3 } }, { "two", { 4 } } };
    std::vector<Change> changes;
    std::uint64_t revision = 6;
};

/** Two readers and a node that queries one of them at random, with lost and late responses. */
class StoreUpdateRun
{
public:
    explicit StoreUpdateRun (unsigned seed) : random (seed) {}

    auto play() -> void
    {
        constexpr auto steps = 300;
        constexpr auto settling = 20;

        for (auto step = 0; step < steps; ++step)
            playStep (step >= steps - settling);

        std::set<std::string> names;

        for (const auto& [name, written] : store.stored)
        {
            names.insert (name);
            REQUIRE (requester.directory.entries.contains ("replicas/" + name));
            REQUIRE (requester.directory.entries.at ("replicas/" + name).isLeaving == written.isLeaving);
        }

        REQUIRE (replicaNames (requester.directory) == names);
    }

private:
    auto chance (unsigned percent) -> bool { return random() % 100 < percent; }

    auto playStep (bool isSettling) -> void
    {
        now += std::chrono::milliseconds (random() % 300);

        if (! isSettling && chance (50))
            store.change ("replica-" + std::to_string (random() % 40), chance (30), chance (40));

        if (! isSettling && chance (3))
            configurationChanged = now;

        for (auto& reader : readers)
            if (isSettling || chance (40))
                read (reader);

        if (isSettling || chance (70))
            queryReader (isSettling);

        // No newer configuration existed at the time of the requester's proof.
        if (requester.configuration.current->revision < revisionOf (configurationChanged))
            REQUIRE (requester.configuration.provenAt <= configurationChanged);
    }

    auto read (StoreView& reader) -> void
    {
        if (chance (10))
            store.listInto (reader.directory, now, ListReason::afterGap);
        else
            store.watchInto (reader.directory, now);

        if (chance (10))
            store.listInto (reader.directory, now, ListReason::check);

        reader.configuration.current = configurationAt (revisionOf (configurationChanged));
        reader.configuration.provenAt = now;
        reader.storeUpdates.ownProvenAt = reader.storeUpdates.ownDirectoryProvenAt = now;
    }

    auto queryReader (bool isSettling) -> void
    {
        const auto which = random() % readers.size();
        const auto& reader = readers[which];
        const auto query = makeStoreUpdateQuery (requester.storeUpdates, requester.directory, "asker", now);
        // Most responses have room for a few changes only.
        constexpr auto smallSize = std::size_t { 100 };
        const auto size = isSettling || chance (20) ? maxChangeBytesPerResponse : smallSize;
        auto response = makeStoreUpdateResponse (query, reader.storeUpdates, reader.configuration,
                                                 reader.directory, std::to_string (which), now, size);
        const auto delay = std::chrono::milliseconds (isSettling ? 1 : random() % 2000);
        applyStoreUpdateResponse (requester.storeUpdates, requester.configuration, requester.directory,
                                  std::move (response), now + delay);

        if (requester.storeUpdates.newestConfigurationRevision > requester.configuration.current->revision)
            requester.configuration.current =
                configurationAt (requester.storeUpdates.newestConfigurationRevision);

        if (requester.storeUpdates.mustListReplicas)
            store.listInto (requester.directory, now, ListReason::afterGap);

        requester.storeUpdates.mustListReplicas = false;
    }

    [[nodiscard]] static auto revisionOf (TimePoint changed) -> std::uint64_t
    {
        const auto since = std::chrono::floor<std::chrono::milliseconds> (changed - start).count();
        return 5 + static_cast<std::uint64_t> (since);
    }

    std::mt19937 random;
    StoreModel store;
    std::array<StoreView, 2> readers { makeStoreView (true), makeStoreView (true) };
    StoreView requester = makeStoreView (false);
    TimePoint now = start;
    TimePoint configurationChanged = start;
};

} // namespace

TEST_CASE ("with lost and late responses, a node ends with the store's replicas and no proof is too young")
{
    for (auto seed = 1U; seed <= 300; ++seed)
    {
        CAPTURE (seed);
        StoreUpdateRun (seed).play();
    }
}
