#include "ServingFixtures.h"

#include "snowrudder_serving/relay/RoutedChoice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

/** What callers send, and the replicas that serve it. */
struct HerdCase
{
    std::size_t routers = 0;
    std::size_t replicas = 0;
    std::uint32_t slots = 0;
    double requestsPerSecond = 0.0;
    /** Mean time that a replica works on a request, and the tokens of its prompt; no tokens for a plain service. */
    Duration work {};
    double promptTokens = 0.0;
};

/** Routers that send to the same replicas and hear of the replicas' loads by way of readers, a quarter of a second to three
    quarters old, in virtual time.
*/
class HerdWorld
{
public:
    HerdWorld (const HerdCase& given, std::uint64_t seed)
        : world (given), random (seed), tables (given.routers)
    {
        std::vector<ListedReplica> listed;

        for (auto index = std::size_t { 0 }; index < given.replicas; ++index)
        {
            ReplicaInfo info;
            info.name = "replica-" + std::to_string (index);
            info.service = "model";
            info.slots = given.slots;
            listed.push_back ({ info, false });
            hashes.push_back (replicaHash (info.name));
        }

        for (auto& table : tables)
            table.update (listed, start);

        replicas.resize (given.replicas);
    }

    auto run (Duration time) -> void
    {
        for (const auto end = now + time; now < end; now += tick)
        {
            finish();
            tellLoads();
            arrive();
        }
    }

    /** @returns the part of the requests that waited for a slot. */
    [[nodiscard]] auto waited() const -> double
    {
        return static_cast<double> (waitedCount) / static_cast<double> (sentCount);
    }

    /** @returns arrivals at the busiest replica against the mean. */
    [[nodiscard]] auto busiestToMean() const -> double
    {
        const auto busiest = std::ranges::max (replicas, {}, &Replica::arrivals).arrivals;
        return static_cast<double> (busiest) * static_cast<double> (replicas.size()) /
               static_cast<double> (sentCount);
    }

private:
    static constexpr auto tick = 5ms;
    static constexpr auto tellInterval = 500ms;
    static constexpr auto tellWay = 250ms;

    struct Run
    {
        TimePoint end {};
        std::size_t router = 0;
        ReplicaTicket ticket;
    };

    struct Replica
    {
        std::vector<Run> running;
        std::deque<Run> waiting;
        std::uint64_t arrivals = 0;
    };

    struct Told
    {
        TimePoint heard {};
        std::vector<LoadReport> loads;
    };

    auto arrive() -> void
    {
        const auto mean = world.requestsPerSecond * std::chrono::duration<double> (tick).count();

        for (auto left = std::poisson_distribution<int> (mean) (random); left > 0; --left)
        {
            const auto router = random() % tables.size();
            RoutedPrompt prompt;
            prompt.tokens = world.promptTokens;

            if (prompt.tokens > 0.0)
            {
                prompt.blocks = { random(), random() };
                prompt.blockTokens = { 0.3 * prompt.tokens, prompt.tokens };
            }

            const auto taken = tables[router].take (
                "model", choiceInput (prompt, {}, world.routers, random()), routedWeights(), now);
            REQUIRE (taken);
            const auto found = std::ranges::find (hashes, replicaHash (taken->ticket.info.name));
            auto& replica = replicas[static_cast<std::size_t> (found - hashes.begin())];
            ++replica.arrivals;
            ++sentCount;
            Run run { {}, router, taken->ticket };

            if (replica.running.size() < world.slots)
                begin (replica, std::move (run));
            else
            {
                replica.waiting.push_back (std::move (run));
                ++waitedCount;
            }
        }
    }

    auto begin (Replica& replica, Run run) -> void
    {
        const auto mean = std::chrono::duration<double> (world.work).count();
        const std::chrono::duration<double> drawn (
            std::exponential_distribution<double> (1.0 / mean) (random));
        run.end = now + std::chrono::duration_cast<Duration> (drawn);
        replica.running.push_back (std::move (run));
    }

    auto finish() -> void
    {
        for (auto& replica : replicas)
        {
            std::erase_if (replica.running,
                           [&] (const Run& run)
                           {
                               if (run.end > now)
                                   return false;

                               tables[run.router].release (run.ticket, AttemptHealth::good, now);
                               return true;
                           });

            while (! replica.waiting.empty() && replica.running.size() < world.slots)
            {
                auto next = std::move (replica.waiting.front());
                replica.waiting.pop_front();
                begin (replica, std::move (next));
            }
        }
    }

    auto tellLoads() -> void
    {
        if (now >= nextTold)
        {
            nextTold = now + tellInterval;
            Told told { now, {} };

            for (const auto& replica : replicas)
                told.loads.push_back ({ static_cast<std::uint32_t> (replica.running.size()),
                                        static_cast<std::uint32_t> (replica.waiting.size()), 0.0, false });

            underWay.push_back (std::move (told));
        }

        if (underWay.empty() || underWay.front().heard + tellWay > now)
            return;

        for (auto& table : tables)
            for (auto index = std::size_t { 0 }; index < hashes.size(); ++index)
                table.recordForwardedLoad (hashes[index], underWay.front().loads[index],
                                           underWay.front().heard);

        underWay.pop_front();
    }

    HerdCase world;
    std::mt19937_64 random;
    TimePoint now = start;
    TimePoint nextTold = start;
    std::vector<ReplicaTable> tables;
    std::vector<std::uint32_t> hashes;
    std::vector<Replica> replicas;
    std::deque<Told> underWay;
    std::uint64_t sentCount = 0;
    std::uint64_t waitedCount = 0;
};

} // namespace

TEST_CASE ("many routers with the same old news of loads do not send to the same replica")
{
    // A plain service that hundreds of routers share, and a model's replicas; each is a fifth to a quarter taken on average.
    const std::array cases {
        HerdCase { 7, 6, 6, 264.0, 30ms, 0.0 },        HerdCase { 77, 6, 6, 264.0, 30ms, 0.0 },
        HerdCase { 295, 6, 6, 264.0, 30ms, 0.0 },      HerdCase { 7, 24, 12, 90.0, 600ms, 2000.0 },
        HerdCase { 77, 60, 12, 220.0, 600ms, 2000.0 }, HerdCase { 295, 204, 12, 750.0, 600ms, 2000.0 }
    };

    for (const auto& herd : cases)
    {
        HerdWorld fleet (herd, 1);
        fleet.run (24s);
        INFO ("routers " << herd.routers << ", replicas " << herd.replicas);
        INFO ("busiest to mean " << fleet.busiestToMean() << ", waited " << fleet.waited());
        CHECK (fleet.waited() <= 0.01);
        // A quarter of the replicas is kept for long prompts, so that the others have four thirds of the mean.
        CHECK (fleet.busiestToMean() <= (herd.promptTokens > 0.0 ? 1.8 : 1.35));
    }
}
