#include "ServingFixtures.h"

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

/** The store's side of a randomised run: replicas come and go, each change has its revision. */
struct StoreModel
{
    struct Change
    {
        std::string name;
        std::uint64_t revision = 0;
        bool isRemoval = false;
    };

    auto change (const std::string& name, bool comesBack) -> void
    {
        const auto isRemoval = stored.erase (name) > 0 && ! comesBack;
        ++revision;

        if (! isRemoval)
            stored[name] = revision;

        changes.push_back ({ name, revision, isRemoval });
    }

    /** What a watch tells. */
    auto watchedBy (ReplicaDirectory& directory, TimePoint now) const -> void
    {
        for (const auto& made : changes)
            if (made.revision > directory.revision && made.isRemoval)
                applyRemoval (directory, "replicas/" + made.name, { made.revision, false }, now);
            else if (made.revision > directory.revision)
                applyEntry (directory, replicaEntry (made.name, made.revision));

        directory.revision = revision;
    }

    auto listedBy (ReplicaDirectory& directory, TimePoint now, ListReason reason) const -> void
    {
        std::vector<DirectoryEntry> listed;

        for (const auto& [name, at] : stored)
            listed.push_back (replicaEntry (name, at));

        applyList (directory, { std::move (listed), {} }, revision, now, reason);
    }

    std::map<std::string, std::uint64_t> stored { { "one", 3 }, { "two", 4 } };
    std::vector<Change> changes;
    std::uint64_t revision = 6;
};

/** Two readers and a node that asks them in turn, with answers lost and late. */
class NewsRun
{
public:
    explicit NewsRun (unsigned seed) : random (seed) {}

    auto play() -> void
    {
        constexpr auto steps = 300;
        constexpr auto settling = 20;

        for (auto step = 0; step < steps; ++step)
            playStep (step >= steps - settling);

        std::set<std::string> names;

        for (const auto& [name, at] : store.stored)
            names.insert (name);

        REQUIRE (replicaNames (asker.directory) == names);
    }

private:
    auto chance (unsigned percent) -> bool { return random() % 100 < percent; }

    auto playStep (bool isSettling) -> void
    {
        now += std::chrono::milliseconds (random() % 300);

        if (! isSettling && chance (50))
            store.change ("replica-" + std::to_string (random() % 40), chance (30));

        if (! isSettling && chance (3))
            configurationChanged = now;

        for (auto& reader : readers)
            if (isSettling || chance (40))
                read (reader);

        if (isSettling || chance (70))
            ask (isSettling);

        // Nothing newer than the asker's configuration existed at the time that its proof names.
        if (asker.configuration.current->revision < revisionOf (configurationChanged))
            REQUIRE (asker.configuration.provenAt <= configurationChanged);
    }

    auto read (StoreView& reader) -> void
    {
        if (chance (10))
            store.listedBy (reader.directory, now, ListReason::afterGap);
        else
            store.watchedBy (reader.directory, now);

        if (chance (10))
            store.listedBy (reader.directory, now, ListReason::check);

        reader.configuration.current = configurationAt (revisionOf (configurationChanged));
        reader.configuration.provenAt = now;
        reader.news.ownProvenAt = now;
    }

    auto ask (bool isSettling) -> void
    {
        const auto which = random() % readers.size();
        const auto& reader = readers[which];
        const auto question = makeQuestion (asker.news, asker.directory, "asker", now);
        auto answer = makeAnswer (question, reader.news, reader.configuration, reader.directory,
                                  std::to_string (which), now);
        const auto way = std::chrono::milliseconds (isSettling ? 1 : random() % 2000);
        takeAnswer (asker.news, asker.configuration, asker.directory, std::move (answer), now + way);

        if (asker.news.newestConfiguration > asker.configuration.current->revision)
            asker.configuration.current = configurationAt (asker.news.newestConfiguration);

        if (asker.news.needsList)
            store.listedBy (asker.directory, now, ListReason::afterGap);

        asker.news.needsList = false;
    }

    [[nodiscard]] static auto revisionOf (TimePoint changed) -> std::uint64_t
    {
        const auto since = std::chrono::floor<std::chrono::milliseconds> (changed - start).count();
        return 5 + static_cast<std::uint64_t> (since);
    }

    std::mt19937 random;
    StoreModel store;
    std::array<StoreView, 2> readers { makeStoreView (true), makeStoreView (true) };
    StoreView asker = makeStoreView (false);
    TimePoint now = start;
    TimePoint configurationChanged = start;
};

} // namespace

TEST_CASE ("whatever is lost or late, a follower ends with the store's replicas and no proof is too young")
{
    for (auto seed = 1U; seed <= 300; ++seed)
    {
        CAPTURE (seed);
        NewsRun (seed).play();
    }
}
