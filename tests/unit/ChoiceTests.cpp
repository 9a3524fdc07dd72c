#include "RoutingFixtures.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace snowrudder;
using namespace snowrudder::tests;

TEST_CASE ("all routers rank the replicas for a new prompt alike, and accounts share no block hashes")
{
    const auto prompt = std::string (8000, 'p');
    const auto blocks = promptBlocks (prompt, "a");
    CHECK (blocks != promptBlocks (prompt, "b"));

    std::set<std::string> chosen;

    for (auto router = 0; router < 5; ++router)
    {
        ReplicaTable table;
        table.update ({ listed ("x"), listed ("y"), listed ("z") }, now);
        chosen.insert (table.take ("s", inputFor (blocks), {}, now)->ticket.info.name);
    }

    CHECK (chosen.size() == 1);
}

TEST_CASE ("a prompt goes to the replica that has its prefix cached")
{
    ReplicaTable table;
    table.update ({ listed ("x"), listed ("y"), listed ("z") }, now);
    const auto document = std::string (9000, 'd');
    const auto first =
        table.take ("s", inputFor (promptBlocks (document + std::string (600, '1'), "a")), {}, now);
    const auto second =
        table.take ("s", inputFor (promptBlocks (document + std::string (600, '2'), "a")), {}, now);
    CHECK (second->ticket.info.name == first->ticket.info.name);
    CHECK (second->choice.reason == "cached");
}

TEST_CASE ("requests spill over from a replica that is full")
{
    ReplicaTable table;
    table.update ({ listed ("x"), listed ("y") }, now);
    const auto blocks = promptBlocks (std::string (5000, 'd'), "a");
    std::map<std::string, int> counts;

    for (auto count = 0; count < 200; ++count)
        ++counts[table.take ("s", inputFor (blocks), {}, now)->ticket.info.name];

    CHECK (counts.size() == 2);
}

TEST_CASE ("long prompts and short ones go to different replicas, on all routers alike")
{
    const auto replicas = listedNumbered (20);
    ChoiceWeights weights;
    weights.longPromptThreshold = 1000.0;
    std::set<std::string> forLong;
    std::set<std::string> forShort;

    for (auto router = 0; router < 3; ++router)
    {
        ReplicaTable table;
        table.update (replicas, now);

        for (auto number = std::uint64_t { 1 }; number <= 200; ++number)
        {
            const std::vector<std::uint64_t> blocks { number };
            auto input = inputFor (blocks);
            input.ownTokens = number % 2 == 0 ? 5000.0 : 10.0;
            const auto taken = table.take ("s", input, weights, now);
            (number % 2 == 0 ? forLong : forShort).insert (taken->ticket.info.name);
        }
    }

    CHECK (forLong.size() == 4);

    for (const auto& name : forLong)
        CHECK_FALSE (forShort.contains (name));
}

TEST_CASE ("few replicas are not split, and a request whose own partition was tried uses the other one")
{
    ChoiceWeights weights;
    weights.longPromptThreshold = 1000.0;
    const std::vector<std::uint64_t> blocks { 7 };
    auto input = inputFor (blocks);
    input.ownTokens = 5000.0;

    ReplicaTable few;
    few.update ({ listed ("x"), listed ("y") }, now);
    std::set<std::string> used;

    for (auto number = std::uint64_t { 0 }; number < 50; ++number)
    {
        const std::vector<std::uint64_t> own { number };
        input.blocks = own;
        used.insert (few.take ("s", input, weights, now)->ticket.info.name);
    }

    CHECK (used.size() == 2);

    ReplicaTable six;
    six.update ({ listed ("a"), listed ("b"), listed ("c"), listed ("d"), listed ("e"), listed ("f") }, now);
    input.blocks = blocks;
    const auto first = six.take ("s", input, weights, now);
    const std::vector<ReplicaNumber> tried { first->ticket.number };
    input.tried = tried;
    const auto second = six.take ("s", input, weights, now);
    REQUIRE (second);
    CHECK (second->ticket.number != first->ticket.number);
}

TEST_CASE ("a long prompt goes to an idle replica, even if others are known only from announcements")
{
    const auto replicas = listedNumbered (8);
    ChoiceWeights weights;
    weights.longPromptThreshold = 1000.0;
    weights.longPromptShare = 0.5;
    weights.longPromptInterference = 8000.0;
    ReplicaTable table;
    table.update (replicas, now);
    ChoiceInput input;
    input.promptTokens = input.ownTokens = 20'000.0;
    std::set<std::string> used;

    // Four replicas take long prompts. Another router announces one on each of them. All are computed within a second,
    // but only one replica has reported its load by then.
    while (used.size() < 4)
    {
        const auto taken = table.take ("s", input, weights, now);
        used.insert (taken->ticket.info.name);
        table.release (taken->ticket, AttemptHealth::neutral, now);
        table.recordAnnouncedPrompt (replicaHash (taken->ticket.info.name), 20'000.0, now);
    }

    const auto free = *used.begin();
    table.recordForwardedLoad (replicaHash (free), { 0, 0, 0.0, false }, now + 1s);
    CHECK (table.take ("s", input, weights, now + 1s)->ticket.info.name == free);

    // Announcements expire, also for replicas that have not reported their load since.
    const auto later = table.take ("s", input, weights, now + 4s);
    CHECK (later->choice.requestEstimate == 0.0);
}

TEST_CASE ("only shared prompt tokens count as cached on the replica that ranks first")
{
    const std::vector<std::uint64_t> blocks { 11, 12 };
    const std::vector<double> blockTokens { 100.0, 800.0 };
    ChoiceInput input;
    input.blocks = blocks;
    input.blockTokens = blockTokens;
    input.promptTokens = 800.0;
    input.anchorBlock = 0;
    input.ownTokens = 700.0;

    const auto ranked = [&]
    {
        ReplicaTable table;
        table.update ({ listed ("x"), listed ("y") }, now);
        return table.take ("s", input, {}, now)->ticket.info.name;
    }();

    ReplicaTable table;
    table.update ({ listed ("x"), listed ("y") }, now);
    constexpr auto waiting = 6000.0;
    table.recordAnnouncedPrompt (replicaHash (ranked), waiting, now);
    CHECK (table.take ("s", input, {}, now)->ticket.info.name != ranked);

    // Where most of the prompt is shared, the cached tokens outweigh the same wait.
    input.promptTokens = 5800.0;
    input.ownTokens = 700.0;
    const std::vector<double> longShared { 5100.0, 5800.0 };
    input.blockTokens = longShared;
    ReplicaTable other;
    other.update ({ listed ("x"), listed ("y") }, now);
    other.recordAnnouncedPrompt (replicaHash (ranked), waiting, now);
    CHECK (other.take ("s", input, {}, now)->ticket.info.name == ranked);
}

TEST_CASE ("the prefix index evicts the least recently used blocks")
{
    PrefixIndex index (4);
    const std::vector<std::uint64_t> first { 1, 2 };
    const std::vector<std::uint64_t> second { 3, 4 };
    const std::vector<std::uint64_t> third { 5, 6 };
    index.record (first, 7);
    index.record (second, 7);
    index.record (first, 7);
    index.record (third, 8);
    CHECK (index.match (first).size() == 1);
    CHECK (index.match (second).empty());
    CHECK (index.match (third).front().blocks == 2);
    index.invalidate (third, 1, 8);
    CHECK (index.match (third).front().blocks == 1);
}

TEST_CASE ("a router assumes that the others sent as many requests as itself since the last report")
{
    ReplicaState replica;
    replica.report.running = 4;
    replica.inFlightAtReport = 1;
    replica.inFlight = 3;
    CHECK (estimatedRequests (replica, now) == 6.0);
    CHECK (estimatedRequests (replica, now, countedOtherRouters (3)) == 10.0);
    CHECK (countedOtherRouters (1) == 0.0);
    CHECK (countedOtherRouters (1000) == countedOtherRouters (maxCountedRouters));

    // Requests that ended on this router are no evidence of requests that ended on others.
    replica.inFlight = 0;
    CHECK (estimatedRequests (replica, now, countedOtherRouters (3)) == 3.0);
}
