#include "snowrudder_limits/snowrudder_limits.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace snowrudder;

namespace
{

constexpr auto now = TimePoint (1h);

auto listed (const std::string& name, bool leaving = false) -> ListedReplica
{
    ReplicaInfo info;
    info.name = name;
    info.vm = "vm-" + name;
    info.failureDomain = "d";
    info.service = "s";
    info.endpoint = "127.0.0.1:1";
    return { info, leaving };
}

auto listedNumbered (std::size_t count) -> std::vector<ListedReplica>
{
    std::vector<ListedReplica> replicas;
    replicas.reserve (count);

    for (auto number = std::size_t { 0 }; number < count; ++number)
        replicas.push_back (listed ("r-" + std::to_string (number)));

    return replicas;
}

auto inputFor (const std::vector<std::uint64_t>& blocks) -> ChoiceInput
{
    ChoiceInput input;
    input.blocks = blocks;
    input.promptTokens = static_cast<double> (blocks.size()) * blockTokenEstimate;
    return input;
}

auto queued (std::uint64_t ticket, const std::string& account, double cost = 100.0) -> QueuedRequest
{
    return { ticket, account, 1, cost, now + 1h };
}

} // namespace

TEST_CASE ("all routers rank an unseen prompt alike, and accounts apart")
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

TEST_CASE ("a prompt goes back to where its prefix is")
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

TEST_CASE ("a sign of leaving is never taken back")
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

TEST_CASE ("a replica that starts again under its name is taken as new in all that is believed of it")
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
    table.noteLoad (before->ticket.number, { 9, 4, 0.0, false }, now);
    table.noteLeaving (before->ticket.number, now);
    CHECK_FALSE (table.take ("s", input, ChoiceWeights(), now));

    const auto restarted = now + 5s;
    replica.info.born = 2000;
    table.update ({ replica }, restarted);
    const auto after = table.take ("s", input, ChoiceWeights(), restarted);
    REQUIRE (after);
    CHECK (after->ticket.number != before->ticket.number);
    CHECK (after->choice.reason != "cached");
    CHECK (after->choice.believed == Approx (0.0));
    CHECK_FALSE (after->choice.loadAge);

    // What others heard of the earlier start, and what this router still had there, changes nothing.
    table.noteLoadHeard (hash, { 12, 25, 0.0, false }, restarted - 100ms);
    table.release (before->ticket, AttemptHealth::unreachable, restarted);
    const auto next = table.take ("s", {}, ChoiceWeights(), restarted);
    REQUIRE (next);
    CHECK (next->choice.believed == Approx (1.0));
}

TEST_CASE ("a refused connection suspends a replica, a probe brings it back")
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

TEST_CASE ("failed answers suspend after three in a row, and longer each time")
{
    ReplicaState replica;
    const BreakerLimits limits;

    for (auto count = 0; count < 2; ++count)
        noteHealth (replica, AttemptHealth::failed, limits, now);

    CHECK (useOf (replica, now) == ReplicaUse::usable);
    noteHealth (replica, AttemptHealth::failed, limits, now);
    CHECK (useOf (replica, now + 900ms) == ReplicaUse::suspended);
    CHECK (useOf (replica, now + 1s) == ReplicaUse::usable);
    noteHealth (replica, AttemptHealth::failed, limits, now + 1s);
    CHECK (useOf (replica, now + 2500ms) == ReplicaUse::suspended);
    noteHealth (replica, AttemptHealth::refused, limits, now + 3s);
    CHECK (replica.failuresInRow == 4);
}

TEST_CASE ("a crowded replica's work spills over")
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
    weights.longPrompt = 1000.0;
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

TEST_CASE ("few replicas are not split, and a request that tried its part uses the other")
{
    ChoiceWeights weights;
    weights.longPrompt = 1000.0;
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

TEST_CASE ("a prompt that another router announced keeps others off until it has been read")
{
    ReplicaTable table;
    table.update ({ listed ("x"), listed ("y") }, now);
    constexpr auto tokens = 32'000.0;
    table.notePromptHeard (replicaHash ("x"), tokens, now);
    table.notePromptHeard (replicaHash ("not there"), tokens, now);
    ChoiceInput input;
    input.promptTokens = 500.0;

    for (auto count = 0; count < 5; ++count)
        CHECK (table.take ("s", input, {}, now + 100ms)->ticket.info.name == "y");

    // At 64 tokens a millisecond it has been read by now; y has five requests.
    const auto later = table.take ("s", input, {}, now + 501ms);
    CHECK (later->ticket.info.name == "x");
    CHECK (later->choice.pendingTokens == 0.0);
}

TEST_CASE ("a long prompt goes where nothing runs, though others' prompts are known from announcements only")
{
    const auto replicas = listedNumbered (8);
    ChoiceWeights weights;
    weights.longPrompt = 1000.0;
    weights.longPromptShare = 0.5;
    weights.besideLongPrompt = 8000.0;
    ReplicaTable table;
    table.update (replicas, now);
    ChoiceInput input;
    input.promptTokens = input.ownTokens = 20'000.0;
    std::set<std::string> used;

    // Four replicas take long prompts; another router has sent one to each but one, and they have been read.
    while (used.size() < 4)
    {
        const auto taken = table.take ("s", input, weights, now);
        used.insert (taken->ticket.info.name);
        table.release (taken->ticket, AttemptHealth::neutral, now);
        table.notePromptHeard (replicaHash (taken->ticket.info.name), 20'000.0, now);
    }

    const auto free = *used.begin();
    table.noteLoadHeard (replicaHash (free), { 0, 0, 0.0, false }, now + 1s);
    CHECK (table.take ("s", input, weights, now + 1s)->ticket.info.name == free);

    // What was announced long ago is over, also where the replica told nothing since.
    const auto later = table.take ("s", input, weights, now + 4s);
    CHECK (later->choice.believed == 0.0);
}

TEST_CASE ("only what prompts share draws a request to where its prefix ranks first")
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
    table.notePromptHeard (replicaHash (ranked), waiting, now);
    CHECK (table.take ("s", input, {}, now)->ticket.info.name != ranked);

    // Where most of the prompt is shared, the same wait is worth it.
    input.promptTokens = 5800.0;
    input.ownTokens = 700.0;
    const std::vector<double> longShared { 5100.0, 5800.0 };
    input.blockTokens = longShared;
    ReplicaTable other;
    other.update ({ listed ("x"), listed ("y") }, now);
    other.notePromptHeard (replicaHash (ranked), waiting, now);
    CHECK (other.take ("s", input, {}, now)->ticket.info.name == ranked);
}

TEST_CASE ("a load that another router heard counts with what was sent since, and never goes back")
{
    ReplicaTable table;
    table.update ({ listed ("x") }, now);
    const std::vector<std::uint64_t> blocks { 1 };
    const auto believed = [&]
    {
        auto sum = 0.0;
        table.forEach ([&] (const ReplicaState& replica) { sum = believedRequests (replica, now); });
        return sum;
    };

    table.take ("s", inputFor (blocks), {}, now);
    table.take ("s", inputFor (blocks), {}, now + 300ms);
    // The replica spoke between the two: only the second is not in its word.
    table.noteLoadHeard (replicaHash ("x"), { 5, 2, 0.0, false }, now + 200ms);
    CHECK (believed() == Approx (8.0));

    table.noteLoadHeard (replicaHash ("x"), { 1, 0, 0.0, false }, now + 100ms);
    CHECK (believed() == Approx (8.0));
    table.noteLoadHeard (replicaHash ("other"), { 50, 0, 0.0, false }, now + 400ms);
    CHECK (believed() == Approx (8.0));
}

TEST_CASE ("the prefix index forgets the least recently used")
{
    PrefixIndex index (4);
    const std::vector<std::uint64_t> first { 1, 2 };
    const std::vector<std::uint64_t> second { 3, 4 };
    const std::vector<std::uint64_t> third { 5, 6 };
    index.note (first, 7);
    index.note (second, 7);
    index.note (first, 7);
    index.note (third, 8);
    CHECK (index.match (first).size() == 1);
    CHECK (index.match (second).empty());
    CHECK (index.match (third).front().blocks == 2);
    index.correct (third, 1, 8);
    CHECK (index.match (third).front().blocks == 1);
}

TEST_CASE ("an account that asks for less than its share starts first")
{
    FairQueue queue;
    queue.setWindow ({ 2, 2 }, now);
    CHECK (queue.request (queued (1, "flood"), 100, now).verdict == QueueVerdict::start);
    CHECK (queue.request (queued (2, "flood"), 100, now).verdict == QueueVerdict::start);

    for (auto ticket = std::uint64_t { 3 }; ticket < 40; ++ticket)
        CHECK (queue.request (queued (ticket, "flood"), 100, now).verdict == QueueVerdict::wait);

    CHECK (queue.request (queued (100, "other"), 100, now).verdict == QueueVerdict::wait);
    CHECK (queue.finish ("flood", 1s, now) == std::vector<std::uint64_t> { 100 });
    CHECK (queue.isOverShare ("other") == false);
}

TEST_CASE ("shares follow weights")
{
    FairQueue queue;
    queue.setWindow ({ 1, 1 }, now);
    queue.request (queued (0, "x"), 1000, now);

    for (auto ticket = std::uint64_t { 1 }; ticket <= 200; ++ticket)
    {
        auto heavy = queued (ticket * 2, "heavy");
        heavy.weight = 3;
        queue.request (heavy, 1000, now);
        queue.request (queued (ticket * 2 + 1, "light"), 1000, now);
    }

    auto heavyStarts = 0;
    std::string running = "x";

    for (auto count = 0; count < 80; ++count)
    {
        const auto started = queue.finish (running, 1s, now);
        REQUIRE (started.size() == 1);
        running = started.front() % 2 == 0 ? "heavy" : "light";
        heavyStarts += running == "heavy" ? 1 : 0;
    }

    CHECK (heavyStarts >= 58);
    CHECK (heavyStarts <= 62);
}

TEST_CASE ("an account that floods leaves the kept places to the others")
{
    FairQueue queue;
    queue.setWindow ({ 8, 6 }, now);

    // Both are known to hold a place for a second.
    for (const auto* account : { "flood", "other" })
    {
        CHECK (queue.request (queued (1, account), 100, now).verdict == QueueVerdict::start);
        queue.finish (account, 1s, now);
    }

    auto started = 0;

    for (auto ticket = std::uint64_t { 1000 }; ticket < 1400; ++ticket)
        started += queue.request (queued (ticket, "flood"), 1000, now).verdict == QueueVerdict::start ? 1 : 0;

    // It may fill the window until it is seen to flood: 4 places of 8 are its share, so 160 requests within 10 s.
    CHECK (started == 8);
    CHECK (queue.isOverShare ("flood"));

    // What it gives back goes to nobody until six places are taken; then one for one.
    CHECK (queue.finish ("flood", 1s, now).empty());
    CHECK (queue.finish ("flood", 1s, now).empty());
    CHECK (queue.finish ("flood", 1s, now).size() == 1);

    // The kept places are there at once.
    CHECK (queue.request (queued (2000, "other"), 100, now).verdict == QueueVerdict::start);
    CHECK (queue.request (queued (2001, "other"), 100, now).verdict == QueueVerdict::start);
    CHECK_FALSE (queue.isOverShare ("other"));
}

TEST_CASE ("an account that is alone has the whole window")
{
    FairQueue queue;
    queue.setWindow ({ 8, 6 }, now);

    for (auto ticket = std::uint64_t { 1 }; ticket <= 8; ++ticket)
        CHECK (queue.request (queued (ticket, "only"), 100, now).verdict == QueueVerdict::start);

    CHECK (queue.request (queued (9, "only"), 100, now).verdict == QueueVerdict::wait);
}

TEST_CASE ("a small account's short burst is not held behind a flood")
{
    FairQueue queue;
    queue.setWindow ({ 1, 1 }, now);
    queue.request (queued (0, "flood"), 1000, now);

    for (auto ticket = std::uint64_t { 1 }; ticket <= 200; ++ticket)
        queue.request (queued (ticket, "flood"), 1000, now);

    // Each of the flood's requests moves the queue's time on.
    for (auto count = 0; count < 100; ++count)
        REQUIRE (queue.finish ("flood", 10ms, now).size() == 1);

    queue.request (queued (1001, "small"), 1000, now);
    queue.request (queued (1002, "small"), 1000, now);
    CHECK (queue.finish ("flood", 10ms, now) == std::vector<std::uint64_t> { 1001 });
    CHECK (queue.finish ("small", 10ms, now) == std::vector<std::uint64_t> { 1002 });
}

TEST_CASE ("each router takes the others to have sent as it did since the last report")
{
    ReplicaState replica;
    replica.report.running = 4;
    replica.inFlightAtReport = 1;
    replica.inFlight = 3;
    CHECK (believedRequests (replica, now) == 6.0);
    CHECK (believedRequests (replica, now, countedOthers (3)) == 10.0);
    CHECK (countedOthers (1) == 0.0);
    CHECK (countedOthers (1000) == countedOthers (mostRoutersCounted));

    // What ended here says nothing of what ended elsewhere.
    replica.inFlight = 0;
    CHECK (believedRequests (replica, now, countedOthers (3)) == 3.0);
}

TEST_CASE ("a queue refuses what it could not serve in time, and says when to come back")
{
    FairQueue queue;
    queue.setWindow ({ 1, 1 }, now);
    queue.request (queued (1, "a"), 100, now);
    auto urgent = queued (2, "a");
    urgent.deadline = now + 100ms;
    const auto answer = queue.request (urgent, 100, now);
    CHECK (answer.verdict == QueueVerdict::refuse);
    CHECK (answer.retryAfter >= 1s);
    CHECK (queue.request (queued (3, "a"), 0, now).verdict == QueueVerdict::refuse);
    CHECK (queue.request (queued (4, "a"), 100, now).verdict == QueueVerdict::wait);
    CHECK (queue.withdraw (4));
    CHECK_FALSE (queue.withdraw (4));
    CHECK (queue.finish ("a", 1s, now).empty());
}

TEST_CASE ("an account's rate and concurrency hold")
{
    AccountLimiter limiter;
    const AccountLimits limits { 2.0, 3 };
    CHECK (limiter.admit ("a", limits, 1.0, now).admitted);
    CHECK (limiter.admit ("a", limits, 1.0, now).admitted);
    const auto third = limiter.admit ("a", limits, 1.0, now);
    CHECK_FALSE (third.admitted);
    CHECK (third.retryAfter == 500ms);
    CHECK (limiter.admit ("a", limits, 1.0, now + 500ms).admitted);
    CHECK_FALSE (limiter.admit ("a", limits, 1.0, now + 10s).admitted);
    limiter.leave ("a");
    CHECK (limiter.admit ("a", limits, 1.0, now + 10s).admitted);
    CHECK (limiter.admit ("b", limits, 1.0, now).admitted);
}
