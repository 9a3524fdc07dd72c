#include "RoutingFixtures.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace snowrudder;
using namespace snowrudder::tests;

TEST_CASE ("a replica that was listed as leaving stays so")
{
    ReplicaTable table;
    table.update ({ listed ("x"), listed ("y") }, now);
    table.update ({ listed ("x", true), listed ("y") }, now);
    table.update ({ listed ("x"), listed ("y") }, now + 1s);

    for (auto count = 0; count < 20; ++count)
        CHECK (table.take ("s", {}, {}, now + 2s)->ticket.info.name == "y");

    table.update ({ listed ("x", true), listed ("y", true) }, now);
    CHECK_FALSE (table.take ("s", {}, {}, now).has_value());
}

TEST_CASE ("a replica that restarts under its name keeps no state of its earlier incarnation")
{
    ReplicaTable table;
    auto replica = listed ("one");
    replica.info.born = 1000;
    table.update ({ replica }, now);
    const std::vector<std::uint64_t> blocks { 1, 2 };
    ChoiceInput input;
    input.blocks = blocks;
    input.promptTokens = 1000.0;
    const auto before = table.take ("s", input, ChoiceWeights(), now);
    REQUIRE (before);
    const auto hash = replicaHash ("one");
    table.recordLoad (before->ticket.number, { 9, 4, 0.0, false }, now);
    replica.leaving = true;
    table.update ({ replica }, now);
    CHECK_FALSE (table.take ("s", input, ChoiceWeights(), now));

    const auto restarted = now + 5s;
    replica.leaving = false;
    replica.info.born = 2000;
    table.update ({ replica }, restarted);
    const auto after = table.take ("s", input, ChoiceWeights(), restarted);
    REQUIRE (after);
    CHECK (after->ticket.number != before->ticket.number);
    CHECK (after->choice.reason != "cached");
    CHECK (after->choice.requestEstimate == Approx (0.0));
    CHECK_FALSE (after->choice.loadAge);

    // Forwarded reports and released requests of the earlier incarnation are ignored.
    table.recordForwardedLoad (hash, { 12, 25, 0.0, false }, restarted - 100ms);
    table.release (before->ticket, AttemptHealth::unreachable, restarted);
    const auto next = table.take ("s", {}, ChoiceWeights(), restarted);
    REQUIRE (next);
    CHECK (next->choice.requestEstimate == Approx (1.0));
}

// The entry of a replica that crashed remains for three heartbeats. Guards against requests being retried on such stale
// entries, where each attempt is refused.
TEST_CASE ("an entry gets no requests once a later replica is listed at its address")
{
    ReplicaTable table;
    auto before = listed ("before");
    auto after = listed ("after");
    after.info.endpoint = before.info.endpoint;
    table.update ({ before }, now);
    const auto first = table.take ("s", {}, {}, now);
    REQUIRE (first);
    table.update ({ after, before }, now + 1s);
    CHECK (table.listing (first->ticket.number) == ReplicaListing::replaced);

    for (auto count = 0; count < 20; ++count)
        CHECK (table.take ("s", {}, {}, now + 1s)->ticket.info.name == "after");
}

TEST_CASE ("of replicas listed at one address in a router's first list, the one that started later is used")
{
    ReplicaTable table;
    auto stale = listed ("a");
    auto alive = listed ("b");
    alive.info.endpoint = stale.info.endpoint;
    stale.info.born = 2000;
    alive.info.born = 1000;
    std::swap (stale.info.born, alive.info.born);
    table.update ({ stale, alive }, now);

    for (auto count = 0; count < 20; ++count)
        CHECK (table.take ("s", {}, {}, now)->ticket.info.name == "b");
}

TEST_CASE (
    "a replica that was detected as ended gets no requests until a later load report, or for three seconds")
{
    ReplicaTable table;
    table.update ({ listed ("x") }, now);
    const auto incarnation = incarnationHash (listed ("x").info);
    table.markEnded (incarnation, now);
    table.markEnded (incarnation + 1, now);
    CHECK_FALSE (table.take ("s", {}, {}, now + 2900ms));
    CHECK (table.take ("s", {}, {}, now + 3s));

    table.markEnded (incarnation, now + 4s);
    CHECK_FALSE (table.take ("s", {}, {}, now + 5s));
    table.recordForwardedLoad (replicaHash ("x"), { 1, 0, 0.0, false }, now + 3900ms);
    CHECK_FALSE (table.take ("s", {}, {}, now + 5s));
    table.recordForwardedLoad (replicaHash ("x"), { 1, 0, 0.0, false }, now + 4100ms);
    CHECK (table.take ("s", {}, {}, now + 5s));

    // A late message: the replica has reported its load since.
    table.markEnded (incarnation, now + 4050ms);
    CHECK (table.take ("s", {}, {}, now + 5s));
}

TEST_CASE ("a refused connection suspends a replica, a successful probe resumes it")
{
    ReplicaTable table;
    table.update ({ listed ("x") }, now);
    auto taken = table.take ("s", {}, {}, now);
    table.release (taken->ticket, AttemptHealth::unreachable, now);
    CHECK_FALSE (table.take ("s", {}, {}, now + 500ms).has_value());

    taken = table.take ("s", {}, {}, now + 1100ms);
    REQUIRE (taken.has_value());
    CHECK_FALSE (table.take ("s", {}, {}, now + 1100ms).has_value());
    table.release (taken->ticket, AttemptHealth::good, now + 1200ms);
    CHECK (table.take ("s", {}, {}, now + 1200ms).has_value());
}

TEST_CASE ("a replica is suspended after three failed answers in a row, and for longer each time")
{
    ReplicaState replica;
    const BreakerLimits limits;

    for (auto count = 0; count < 2; ++count)
        recordAttemptHealth (replica, AttemptHealth::failed, limits, now);

    CHECK (availabilityOf (replica, now) == ReplicaAvailability::usable);
    recordAttemptHealth (replica, AttemptHealth::failed, limits, now);
    CHECK (availabilityOf (replica, now + 900ms) == ReplicaAvailability::suspended);
    CHECK (availabilityOf (replica, now + 1s) == ReplicaAvailability::usable);
    recordAttemptHealth (replica, AttemptHealth::failed, limits, now + 1s);
    CHECK (availabilityOf (replica, now + 2500ms) == ReplicaAvailability::suspended);
    recordAttemptHealth (replica, AttemptHealth::refused, limits, now + 3s);
    CHECK (replica.failuresInRow == 4);
}

TEST_CASE ("a prompt that another router announced counts as load until it has been computed")
{
    ReplicaTable table;
    table.update ({ listed ("x"), listed ("y") }, now);
    constexpr auto tokens = 32'000.0;
    table.recordAnnouncedPrompt (replicaHash ("x"), tokens, now);
    table.recordAnnouncedPrompt (replicaHash ("not there"), tokens, now);
    ChoiceInput input;
    input.promptTokens = 500.0;

    for (auto count = 0; count < 5; ++count)
        CHECK (table.take ("s", input, {}, now + 100ms)->ticket.info.name == "y");

    // At 64 tokens per millisecond x has computed it by now, while y has five requests.
    const auto later = table.take ("s", input, {}, now + 501ms);
    CHECK (later->ticket.info.name == "x");
    CHECK (later->choice.pendingTokens == 0.0);
}

TEST_CASE ("a forwarded load report counts together with requests sent since, and older reports are ignored")
{
    ReplicaTable table;
    table.update ({ listed ("x") }, now);
    const std::vector<std::uint64_t> blocks { 1 };
    const auto requestEstimate = [&]
    {
        auto sum = 0.0;
        table.forEach ([&] (const ReplicaState& replica) { sum = estimatedRequests (replica, now); });
        return sum;
    };

    table.take ("s", inputFor (blocks), {}, now);
    table.take ("s", inputFor (blocks), {}, now + 300ms);
    // The replica made the report between the two requests: only the second one is not in it.
    table.recordForwardedLoad (replicaHash ("x"), { 5, 2, 0.0, false }, now + 200ms);
    CHECK (requestEstimate() == Approx (8.0));

    table.recordForwardedLoad (replicaHash ("x"), { 1, 0, 0.0, false }, now + 100ms);
    CHECK (requestEstimate() == Approx (8.0));
    table.recordForwardedLoad (replicaHash ("other"), { 50, 0, 0.0, false }, now + 400ms);
    CHECK (requestEstimate() == Approx (8.0));
}

// Guards against an expired entry that hides its replica's end: only what is listed at its address later tells.
TEST_CASE ("another replica at the address of one that is no longer listed is its successor")
{
    const auto infoOf = [] (const std::string& name, const std::string& endpoint)
    {
        ReplicaInfo info;
        info.name = name;
        info.service = "models";
        info.endpoint = endpoint;
        return info;
    };
    const auto before = infoOf ("one", "10.0.0.1:80");
    ReplicaTable table;
    table.update ({ { before, false }, { infoOf ("two", "10.0.0.2:80"), false } }, TimePoint (1h));
    CHECK_FALSE (table.hasSuccessor (before));

    table.update ({ { infoOf ("two", "10.0.0.2:80"), false } }, TimePoint (1h));
    CHECK_FALSE (table.hasSuccessor (before));

    // The entry had only expired.
    table.update ({ { before, false } }, TimePoint (1h));
    CHECK_FALSE (table.hasSuccessor (before));

    table.update ({ { infoOf ("three", "10.0.0.1:80"), false } }, TimePoint (1h));
    CHECK (table.hasSuccessor (before));
}

TEST_CASE ("applying the changes of a list gives the same table as applying the list")
{
    for (auto seed = 1U; seed <= 50; ++seed)
    {
        CAPTURE (seed);
        std::mt19937 random (seed);
        ReplicaTable whole;
        ReplicaTable changed;
        std::map<std::string, ListedReplica> replicas;

        for (auto step = 0; step < 60; ++step)
        {
            const auto at = now + std::chrono::seconds (step);
            std::vector<ListedReplica> changes;
            std::vector<std::string> removed;

            for (auto count = random() % 4; count > 0; --count)
            {
                const auto name = "replica-" + std::to_string (random() % 12);
                const auto found = replicas.find (name);

                if (found != replicas.end() && random() % 3 == 0)
                {
                    replicas.erase (found);
                    removed.push_back (name);
                    std::erase_if (changes, [&] (const auto& change) { return change.info.name == name; });
                    continue;
                }

                auto entry = listed (name, random() % 3 == 0);
                // Few addresses, so that some are taken over.
                entry.info.endpoint = "10.0.0." + std::to_string (random() % 8) + ":80";
                entry.info.born = 1 + random() % 3;
                std::erase (removed, name);
                std::erase_if (changes, [&] (const auto& change) { return change.info.name == name; });
                replicas[name] = entry;
                changes.push_back (entry);
            }

            std::vector<ListedReplica> all;
            all.reserve (replicas.size());

            for (const auto& [name, entry] : replicas)
                all.push_back (entry);

            whole.update (all, at);
            changed.applyChanges (changes, removed, at);

            const auto states = [at] (const ReplicaTable& table)
            {
                std::map<std::string, std::pair<ReplicaAvailability, std::uint64_t>> found;
                table.forEach (
                    [&] (const ReplicaState& replica) {
                        found[replica.info.name] = { availabilityOf (replica, at), replica.incarnation };
                    });
                return found;
            };

            REQUIRE (states (changed) == states (whole));
        }
    }
}

TEST_CASE ("the slots that a replica states go before those that are listed")
{
    ReplicaTable table;
    table.update ({ listed ("x") }, now);
    const auto taken = table.take ("s", {}, {}, now);
    REQUIRE (taken);
    const auto before = table.capacity ("s", now).slots;
    table.recordLoad (taken->ticket.number, { 1, 0, 0.0, false, 40 }, now);
    CHECK (table.capacity ("s", now).slots == Approx (40.0));
    CHECK (table.totals ("s").slots == Approx (40.0));

    // A load that another router forwarded doesn't state them, and a list doesn't change them.
    table.recordForwardedLoad (replicaHash ("x"), { 1, 0, 0.0, false }, now + 1s);
    table.update ({ listed ("x") }, now + 2s);
    CHECK (table.capacity ("s", now + 2s).slots == Approx (40.0));
    CHECK (before < 40.0);
}
