#include "ServingFixtures.h"

#include "snowrudder_serving/relay/RoutedPrompt.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

/** A workload, and the replicas that serve it. */
struct LoadCase
{
    std::size_t routers = 0;
    std::size_t replicas = 0;
    std::uint32_t slots = 0;
    double requestsPerSecond = 0.0;
    /** Mean time that a replica takes for a request, and the tokens of its prompt; 0 tokens for a plain service. */
    Duration work {};
    double promptTokens = 0.0;
};

/** Simulates, in virtual time, routers that send to the same replicas and receive the replicas' loads through
    readers. The loads are 250 to 750 ms old when they are used.
*/
class LoadFeedbackSimulation
{
public:
    LoadFeedbackSimulation (const LoadCase& given, std::uint64_t seed)
        : workload (given), random (seed), tables (given.routers)
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
            completeRequests();
            deliverLoadReports();
            sendRequests();
        }
    }

    /** @returns the share of requests that waited for a slot. */
    [[nodiscard]] auto waited() const -> double
    {
        return static_cast<double> (waitedCount) / static_cast<double> (sentCount);
    }

    /** @returns the ratio of the requests sent to the busiest replica to the mean over all replicas. */
    [[nodiscard]] auto busiestToMean() const -> double
    {
        const auto busiest = std::ranges::max (replicas, {}, &Replica::arrivals).arrivals;
        return static_cast<double> (busiest) * static_cast<double> (replicas.size()) /
               static_cast<double> (sentCount);
    }

private:
    static constexpr auto tick = 5ms;
    static constexpr auto reportInterval = 500ms;
    static constexpr auto reportDelay = 250ms;

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

    struct DelayedReport
    {
        TimePoint measuredAt {};
        std::vector<LoadReport> loads;
    };

    auto sendRequests() -> void
    {
        const auto mean = workload.requestsPerSecond * std::chrono::duration<double> (tick).count();

        for (auto left = std::poisson_distribution<int> (mean) (random); left > 0; --left)
        {
            const auto router = random() % tables.size();
            RoutedPrompt prompt;
            prompt.tokens = workload.promptTokens;

            if (prompt.tokens > 0.0)
            {
                prompt.blocks = { random(), random() };
                prompt.blockTokens = { 0.3 * prompt.tokens, prompt.tokens };
            }

            const auto taken = tables[router].take (
                "model", choiceInput (prompt, {}, workload.routers, random()), routedWeights(), now);
            REQUIRE (taken);
            const auto found = std::ranges::find (hashes, replicaHash (taken->ticket.info.name));
            auto& replica = replicas[static_cast<std::size_t> (found - hashes.begin())];
            ++replica.arrivals;
            ++sentCount;
            Run run { {}, router, taken->ticket };

            if (replica.running.size() < workload.slots)
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
        const auto mean = std::chrono::duration<double> (workload.work).count();
        const std::chrono::duration<double> drawn (
            std::exponential_distribution<double> (1.0 / mean) (random));
        run.end = now + std::chrono::duration_cast<Duration> (drawn);
        replica.running.push_back (std::move (run));
    }

    auto completeRequests() -> void
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

            while (! replica.waiting.empty() && replica.running.size() < workload.slots)
            {
                auto next = std::move (replica.waiting.front());
                replica.waiting.pop_front();
                begin (replica, std::move (next));
            }
        }
    }

    auto deliverLoadReports() -> void
    {
        if (now >= nextReport)
        {
            nextReport = now + reportInterval;
            DelayedReport report { now, {} };

            for (const auto& replica : replicas)
                report.loads.push_back ({ static_cast<std::uint32_t> (replica.running.size()),
                                          static_cast<std::uint32_t> (replica.waiting.size()), 0.0, false });

            inFlightReports.push_back (std::move (report));
        }

        if (inFlightReports.empty() || inFlightReports.front().measuredAt + reportDelay > now)
            return;

        for (auto& table : tables)
            for (auto index = std::size_t { 0 }; index < hashes.size(); ++index)
                table.recordForwardedLoad (hashes[index], inFlightReports.front().loads[index],
                                           inFlightReports.front().measuredAt);

        inFlightReports.pop_front();
    }

    LoadCase workload;
    std::mt19937_64 random;
    TimePoint now = start;
    TimePoint nextReport = start;
    std::vector<ReplicaTable> tables;
    std::vector<std::uint32_t> hashes;
    std::vector<Replica> replicas;
    std::deque<DelayedReport> inFlightReports;
    std::uint64_t sentCount = 0;
    std::uint64_t waitedCount = 0;
};

} // namespace

TEST_CASE ("many routers with the same outdated load reports do not send to the same replica")
{
    // A plain service shared by hundreds of routers, and the replicas of a model; mean utilisation is 20% to 25%.
    const std::array cases {
        LoadCase { 7, 6, 6, 264.0, 30ms, 0.0 },        LoadCase { 77, 6, 6, 264.0, 30ms, 0.0 },
        LoadCase { 295, 6, 6, 264.0, 30ms, 0.0 },      LoadCase { 7, 24, 12, 90.0, 600ms, 2000.0 },
        LoadCase { 77, 60, 12, 220.0, 600ms, 2000.0 }, LoadCase { 295, 204, 12, 750.0, 600ms, 2000.0 }
    };

    for (const auto& loadCase : cases)
    {
        LoadFeedbackSimulation fleet (loadCase, 1);
        fleet.run (24s);
        INFO ("routers " << loadCase.routers << ", replicas " << loadCase.replicas);
        INFO ("busiest to mean " << fleet.busiestToMean() << ", waited " << fleet.waited());
        CHECK (fleet.waited() <= 0.01);
        // A quarter of the replicas is reserved for long prompts, so the others receive four thirds of the mean.
        CHECK (fleet.busiestToMean() <= (loadCase.promptTokens > 0.0 ? 1.8 : 1.35));
    }
}
