#include "RoutingFixtures.h"
#include "VirtualWork.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

using std::chrono::milliseconds;

constexpr auto begin = now;

/** Requests that reach a replica this long after it asked a node for rest, and later, count. */
constexpr auto restBegins = Duration (500ms);
constexpr auto allowedInRest = std::size_t { 2 };

struct SimulatedReplica
{
    std::string name;
    std::uint32_t slots = 8;
    std::uint32_t running = 0;
    /** When it rejects requests, and for how long it asks for rest then. */
    TimePoint rejectsFrom = TimePoint::max();
    TimePoint rejectsUntil = TimePoint::max();
    Duration rest {};
    /** When a request of each node reached it within a rest of that node, counted since the rest began. */
    std::map<std::size_t, std::vector<std::pair<TimePoint, TimePoint>>> rests;
    std::map<std::size_t, std::vector<TimePoint>> arrivals;
};

/** Nodes that send requests to replicas which ask for rest as they reject some. */
class RestWorld
{
public:
    RestWorld (std::size_t fleet, unsigned seed)
        : random (seed), events (begin), tables (std::min<std::size_t> (fleet, simulated))
    {
        const auto count = 1 + random() % 8;

        for (auto number = std::size_t { 0 }; number < count; ++number)
        {
            entries.push_back (listed ("r-" + std::to_string (number)));
            entries.back().info.slots = 1 + random() % 16;
            SimulatedReplica replica;
            replica.name = entries.back().info.name;
            replica.slots = entries.back().info.slots;
            replicas.push_back (std::move (replica));
        }

        for (auto number = std::size_t { 0 }; number < tables.size(); ++number)
        {
            tables[number].setFleetPosition ({ random() % fleet, fleet });
            tables[number].update (entries, begin);
        }

        const auto resting = 1 + random() % count;

        for (auto number = std::size_t { 0 }; number < resting; ++number)
        {
            auto& replica = replicas[number];
            replica.rejectsFrom = begin + milliseconds (random() % 2000);
            replica.rejectsUntil = replica.rejectsFrom + milliseconds (100 + random() % 4000);
            replica.rest = drawRest();
        }
    }

    auto play (Duration time) -> void
    {
        const auto end = begin + time;

        for (auto node = std::size_t { 0 }; node < tables.size(); ++node)
            scheduleNext (node, end);

        // Entries lapse and come back, as in an outage of the store.
        if (random() % 3 == 0)
        {
            const auto at = begin + time * (static_cast<double> (random() % 1000) / 1000.0);
            const auto lapse = std::chrono::time_point_cast<Duration> (at);
            events.add (lapse, VirtualEvents::noNode, [this] { updateAll ({}); });
            events.add (lapse + 700ms, VirtualEvents::noNode, [this] { updateAll (entries); });
        }

        events.runUntil (end);
    }

    /** @returns the most requests of one node that reached a replica in a rest, from `restBegins` on. */
    [[nodiscard]] auto mostInRest() const -> std::size_t
    {
        auto most = std::size_t { 0 };

        for (const auto& replica : replicas)
            for (const auto& [node, rests] : replica.rests)
                for (const auto& rest : rests)
                {
                    const auto late =
                        std::ranges::count_if (replica.arrivals.at (node), [&rest] (TimePoint at)
                                               { return at > rest.first + restBegins && at < rest.second; });
                    most = std::max (most, static_cast<std::size_t> (late));
                }

        return most;
    }

    [[nodiscard]] auto restCount() const -> std::size_t
    {
        auto count = std::size_t { 0 };

        for (const auto& replica : replicas)
            for (const auto& [node, rests] : replica.rests)
                count += rests.size();

        return count;
    }

private:
    /** What a node does depends on its own answers only, so that few of a large fleet are played. */
    static constexpr auto simulated = std::size_t { 10 };

    auto drawRest() -> Duration
    {
        const auto kind = random() % 4;

        if (kind == 0)
            return milliseconds (100 + random() % 900);

        if (kind == 1)
            return milliseconds (1000 + random() % 9000);

        return kind == 2 ? Duration (milliseconds (random() % 60000)) : Duration (1h);
    }

    auto updateAll (const std::vector<ListedReplica>& list) -> void
    {
        for (auto& table : tables)
            table.update (list, events.now());
    }

    auto hop() -> Duration { return milliseconds (1 + random() % 20); }

    auto scheduleNext (std::size_t node, TimePoint end) -> void
    {
        const auto at = events.now() + milliseconds (1 + random() % 60);

        if (at < end)
            events.add (at, VirtualEvents::noNode,
                        [this, node, end]
                        {
                            send (node);
                            scheduleNext (node, end);
                        });
    }

    auto send (std::size_t node) -> void
    {
        auto& table = tables[node];
        // Prompts of their own spread the requests over the replicas.
        constexpr auto tokens = 1000.0;
        const std::vector<std::uint64_t> blocks { random() };
        ChoiceInput input;
        input.draw = random();
        input.blocks = blocks;
        input.promptTokens = tokens;
        const auto taken = table.take ("s", input, {}, events.now());

        if (! taken)
            return;

        // A connection is made first in some cases; the check right before the send follows it.
        const auto connects = random() % 3 == 0 ? milliseconds (random() % 250) : milliseconds (0);
        events.add (events.now() + connects, VirtualEvents::noNode,
                    [this, node, ticket = taken->ticket]() mutable
                    {
                        if (tables[node].isWithdrawn (ticket.number, events.now()))
                        {
                            tables[node].release (ticket, AttemptHealth::neutral, events.now());
                            return;
                        }

                        events.add (events.now() + hop(), VirtualEvents::noNode,
                                    [this, node, ticket] { arrive (node, ticket); });
                    });
    }

    auto arrive (std::size_t node, const ReplicaTicket& ticket) -> void
    {
        const auto index = std::stoul (ticket.info.name.substr (2));
        auto& replica = replicas[index];
        const auto time = events.now();
        replica.arrivals[node].push_back (time);
        const auto isRejected = time >= replica.rejectsFrom && time < replica.rejectsUntil;
        // Some rejections ask for a shorter rest than the one before.
        const auto rest = random() % 4 == 0 ? replica.rest / 4 : replica.rest;

        if (isRejected && rest > Duration::zero())
            replica.rests[node].emplace_back (time, time + rest);

        const auto answers = isRejected ? Duration::zero() : Duration (milliseconds (random() % 600));
        events.add (time + answers + hop(), VirtualEvents::noNode,
                    [this, node, answered = ticket, isRejected, rest]() mutable
                    {
                        auto& table = tables[node];

                        if (isRejected)
                            table.recordRest (incarnationHash (answered.info), rest, events.now());
                        else
                            table.recordAnswerStart (answered, {}, {});

                        table.release (answered, isRejected ? AttemptHealth::refused : AttemptHealth::good,
                                       events.now());
                    });
    }

    std::mt19937 random;
    VirtualEvents events;
    std::vector<ReplicaTable> tables;
    std::vector<ListedReplica> entries;
    std::vector<SimulatedReplica> replicas;
};

/** @returns the number of seeds of each fleet; SNOWRUDDER_REST_SEEDS sets a larger one for runs by hand. */
auto seedCount() -> unsigned
{
    constexpr auto inRegularRuns = 60U;
    const auto* text = std::getenv ("SNOWRUDDER_REST_SEEDS");
    return text != nullptr ? static_cast<unsigned> (std::stoul (text)) : inRegularRuns;
}

auto askForRest (ReplicaTable& table, const FleetPosition& router, Duration rest, std::uint32_t slots) -> void
{
    auto entry = listed ("one");
    entry.info.slots = slots;
    table.setFleetPosition (router);
    table.update ({ entry }, begin);
    table.recordRest (incarnationHash (entry.info), rest, begin);
}

} // namespace

TEST_CASE ("at most two requests of a node reach a replica in the rest that it asked for")
{
    for (const auto nodes :
         { std::size_t { 7 }, std::size_t { 83 }, std::size_t { 295 }, std::size_t { 986 } })
    {
        auto rests = std::size_t { 0 };

        for (auto seed = 1U; seed <= seedCount(); ++seed)
        {
            CAPTURE (nodes, seed);
            RestWorld world (nodes, seed);
            world.play (12s);
            rests += world.restCount();
            REQUIRE (world.mostInRest() <= allowedInRest);
        }

        REQUIRE (rests > 0);
    }
}

TEST_CASE (
    "nodes return to a replica within a second after its rest, and not to more than its slots within 0.1 s")
{
    for (const auto nodes : { std::size_t { 1 }, std::size_t { 7 }, std::size_t { 83 } })
        for (const auto slots : { 1U, 4U, 16U })
        {
            CAPTURE (nodes, slots);
            const auto rest = Duration (3s);
            std::vector<ReplicaTable> tables (nodes);

            for (auto node = std::size_t { 0 }; node < nodes; ++node)
                askForRest (tables[node], { node, nodes }, rest, slots);

            std::vector<TimePoint> sent;
            std::vector<std::pair<TimePoint, std::pair<std::size_t, ReplicaTicket>>> answers;

            // Each node has a request at any moment; each runs for 2 s, and its answer begins after 20 ms.
            for (auto time = begin; time < begin + rest + 1s; time += 1ms)
                for (auto node = std::size_t { 0 }; node < nodes; ++node)
                {
                    for (auto& [at, answer] : answers)
                        if (at == time && answer.first == node)
                            tables[node].recordAnswerStart (answer.second, {}, {});

                    const auto taken = tables[node].take ("s", {}, {}, time);

                    if (! taken)
                        continue;

                    sent.push_back (time);
                    answers.emplace_back (time + 20ms, std::pair (node, taken->ticket));
                }

            REQUIRE_FALSE (sent.empty());
            CHECK (sent.front() >= begin + rest);
            CHECK (sent.front() <= begin + rest + 1s);
            const auto first =
                std::ranges::count_if (sent, [&] (TimePoint at) { return at < sent.front() + 100ms; });
            // Where nodes outnumber nine times the slots, the return of all is not spread any further.
            const auto isSpread = static_cast<double> (nodes) <= 9.0 * slots;
            const auto most = isSpread ? static_cast<long> (slots) : static_cast<long> (nodes / 9 + 1);
            CHECK (first <= most);
        }
}

TEST_CASE ("a longer rest isn't ended by a shorter one or by an answer")
{
    ReplicaTable table;
    askForRest (table, FleetPosition(), 10s, 4);
    const auto incarnation = incarnationHash (listed ("one").info);
    CHECK_FALSE (table.take ("s", {}, {}, begin + 1s));
    table.recordRest (incarnation, 1s, begin + 2s);
    CHECK_FALSE (table.take ("s", {}, {}, begin + 5s));
    table.recordRest (incarnation, 0s, begin + 5s);
    CHECK_FALSE (table.take ("s", {}, {}, begin + 9900ms));
    CHECK (table.take ("s", {}, {}, begin + 10s));
}

TEST_CASE ("a rest outlives a lapse of the entry, and ends with the incarnation")
{
    ReplicaTable table;
    askForRest (table, FleetPosition(), 10s, 4);
    table.update ({}, begin + 1s);
    table.update ({ listed ("one") }, begin + 2s);
    CHECK_FALSE (table.take ("s", {}, {}, begin + 3s));
    auto restarted = listed ("one");
    restarted.info.born = 77;
    table.applyChanges ({ restarted }, {}, begin + 4s);
    CHECK (table.take ("s", {}, {}, begin + 5s));
}

TEST_CASE ("a rest that a replica asks for while its entry has lapsed is kept")
{
    ReplicaTable table;
    table.update ({ listed ("one") }, begin);
    table.update ({}, begin + 1s);
    table.recordRest (incarnationHash (listed ("one").info), 10s, begin + 1s);
    table.update ({ listed ("one") }, begin + 2s);
    CHECK_FALSE (table.take ("s", {}, {}, begin + 3s));
    CHECK (table.take ("s", {}, {}, begin + 12s));
}

TEST_CASE ("after a rest one request tests the replica, and another one only if it gets no answer")
{
    ReplicaTable table;
    askForRest (table, FleetPosition(), 1s, 4);
    const auto incarnation = incarnationHash (listed ("one").info);
    auto first = table.take ("s", {}, {}, begin + 1s);
    REQUIRE (first);
    CHECK_FALSE (table.take ("s", {}, {}, begin + 1s + 10ms));
    CHECK (table.mustWaitForPlace ("s", {}, begin + 1s + 10ms));

    SECTION ("rejected again")
    {
        table.recordRest (incarnation, 1s, begin + 1s + 20ms);
        table.release (first->ticket, AttemptHealth::refused, begin + 1s + 20ms);
        CHECK_FALSE (table.take ("s", {}, {}, begin + 2s));
        CHECK (table.take ("s", {}, {}, begin + 2s + 20ms));
    }

    SECTION ("answered")
    {
        table.recordAnswerStart (first->ticket, {}, {});
        CHECK (table.take ("s", {}, {}, begin + 1s + 20ms));
    }

    SECTION ("given up")
    {
        table.release (first->ticket, AttemptHealth::neutral, begin + 1s + 20ms);
        CHECK (table.take ("s", {}, {}, begin + 1s + 20ms));
        CHECK_FALSE (table.take ("s", {}, {}, begin + 1s + 30ms));
    }

    SECTION ("slow")
    CHECK (table.take ("s", {}, {}, begin + 1s + ReplicaRest::trialTime));
}

TEST_CASE ("callers return at the end of the first rest, and a rest opens no circuit breaker")
{
    ReplicaTable table;
    table.update ({ listed ("one"), listed ("two") }, begin);
    table.recordRest (incarnationHash (listed ("one").info), 8s, begin);
    CHECK_FALSE (table.retryDelay ("s", {}, begin));
    table.recordRest (incarnationHash (listed ("two").info), 3s, begin);
    const auto delay = table.retryDelay ("s", {}, begin + 1s);
    REQUIRE (delay);
    CHECK (*delay >= 2s);
    CHECK (*delay <= 2500ms);
    // Requests are refused at once, not queued.
    CHECK (table.capacity ("s", begin + 1s).slots > 0.0);
    CHECK (table.take ("s", {}, {}, begin + 3s));
}
