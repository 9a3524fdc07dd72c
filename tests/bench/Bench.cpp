#include "BenchPlans.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdio>
#include <cstdlib>
#include <future>
#include <vector>

namespace
{

using namespace snowrudder;

struct Row
{
    std::string deployment;
    double load = 0.0;
    bool reclaims = false;
    Policy policy = Policy::product;
    ServingResult result;
};

/** Overrides the weights that are given on the command line. */
auto applyWeights (const CommandLine& line, ChoiceWeights& weights) -> void
{
    const auto number = [&line] (const char* name, double fallback)
    {
        const auto text = line.option (name);
        return text.empty() ? fallback : std::atof (text.c_str());
    };

    weights.recompute = number ("recompute", weights.recompute);
    weights.queue = number ("queue", weights.queue);
    weights.busySlot = number ("busy-slot", weights.busySlot);
    weights.freeWait = number ("free-wait", weights.freeWait);
    weights.assumedCached = number ("assumed-cached", weights.assumedCached);
    weights.fullOccupancy = number ("full-occupancy", weights.fullOccupancy);
    weights.anchorBytes =
        static_cast<std::size_t> (number ("anchor-bytes", static_cast<double> (weights.anchorBytes)));
}

auto runRow (Row row, Duration length, const CommandLine& line) -> Row
{
    auto plan = deploymentPlan (row.deployment, row.load);
    applyWeights (line, plan.weights);
    plan.policy = row.policy;
    plan.moveCache = line.option ("cache-moves", "yes") == "yes";
    plan.length = length;
    plan.reclaimEvery = row.reclaims ? Duration (60s) : Duration::zero();
    row.result = ServingSimulation (std::move (plan)).run();
    return row;
}

/** Prints the 95th percentile of the time to the first token of each class, at the usual rates and with the rate of one
    class multiplied.
*/
auto printFlood (double times, Duration length, const CommandLine& line) -> void
{
    const auto runWithFactor = [&] (double factor)
    {
        auto plan = deploymentPlan ("grauenfels", 0.7);
        applyWeights (line, plan.weights);
        plan.keptShare = std::atof (line.option ("kept-share", "0.35").c_str());
        plan.length = length;
        floodPlan (plan, "replies", factor);
        return ServingSimulation (std::move (plan)).run();
    };

    auto baseline = std::async (std::launch::async, runWithFactor, 1.0);
    auto flooded = runWithFactor (times);
    auto before = baseline.get();
    std::printf ("class  requests  good  first p95 quiet  flooded  ratio  good quiet  flooded\n");

    for (auto index = std::size_t { 0 }; index < before.classes.size(); ++index)
    {
        auto& first = before.classes[index];
        auto& second = flooded.classes[index];

        if (first.requests == 0)
            continue;

        const auto baselineP95 = quantileOf (first.firstTokenMilliseconds, 0.95);
        const auto floodP95 = quantileOf (second.firstTokenMilliseconds, 0.95);
        std::printf ("%5zu %9llu %5llu %16.0f %8.0f %6.2f %11.3f %8.3f\n", index,
                     static_cast<unsigned long long> (second.requests),
                     static_cast<unsigned long long> (second.good), baselineP95, floodP95,
                     floodP95 / baselineP95,
                     static_cast<double> (first.good) / static_cast<double> (first.requests),
                     static_cast<double> (second.good) / static_cast<double> (second.requests));
    }

    std::printf ("tokens within target: quiet %llu, flooded %llu\n",
                 static_cast<unsigned long long> (before.tokensWithinTarget),
                 static_cast<unsigned long long> (flooded.tokensWithinTarget));
}

auto printRow (const Row& row) -> void
{
    const auto& result = row.result;
    const auto factor =
        static_cast<double> (result.computedPromptTokens) / static_cast<double> (result.minPromptTokens);
    std::printf ("%-11s %3.0f%% %-8s %-13s %7llu %9llu %7.3f %9.1f %7.2f %8.2f%% %9.4f %6llu %6llu\n",
                 row.deployment.c_str(), row.load * 100.0, row.reclaims ? "reclaims" : "quiet",
                 std::string (toString (row.policy)).c_str(),
                 static_cast<unsigned long long> (result.requests),
                 static_cast<unsigned long long> (result.computedPromptTokens), factor, result.firstTokenP95,
                 result.betweenTokensP95,
                 100.0 * static_cast<double> (result.withinTarget) / static_cast<double> (result.requests),
                 result.costPerThousand, static_cast<unsigned long long> (result.moves),
                 static_cast<unsigned long long> (result.slowOnReplica));
}

} // namespace

/** Compares policies of choosing a replica in virtual time: snowrudder-bench --seconds 300. */
auto main (int argumentCount, char** arguments) -> int
{
    const auto line = readCommandLine (
        argumentCount, arguments,
        { "snowrudder-bench",
          "Compares ways to choose a replica, in virtual time.",
          false,
          { { "seconds", "N", "virtual seconds of each run (300)" },
            { "policy", "NAME", "only this one" },
            { "load", "SHARE", "only this one" },
            { "cache-moves", "yes|no", "whether a leaving engine's cache goes along" },
            { "flood", "TIMES", "one account's replies come so often; a table of all classes" },
            { "kept-share", "X", "of the slots, kept from accounts that flood" },
            { "recompute", "X", "weight; see ChoiceWeights" },
            { "queue", "X", "weight" },
            { "busy-slot", "X", "weight" },
            { "free-wait", "X", "weight" },
            { "assumed-cached", "X", "weight" },
            { "full-occupancy", "X", "weight" },
            { "anchor-bytes", "N", "weight" } } });
    const auto length = std::chrono::seconds (std::atoi (line.option ("seconds", "300").c_str()));
    const auto onlyPolicy = line.option ("policy");
    const auto onlyLoad = std::atof (line.option ("load", "0").c_str());

    if (const auto flood = line.option ("flood"); ! flood.empty())
    {
        printFlood (std::atof (flood.c_str()), length, line);
        return 0;
    }

    std::vector<std::future<Row>> rows;

    for (const auto* deployment : { "grauenfels", "linenwise" })
        for (const auto reclaims : { false, true })
            for (const auto load : { 0.5, 0.75, 0.9 })
                for (const auto policy : allPolicies)
                    if ((onlyPolicy.empty() || onlyPolicy == toString (policy)) &&
                        (onlyLoad == 0.0 || onlyLoad == load))
                        rows.push_back (std::async (std::launch::async, runRow,
                                                    Row { deployment, load, reclaims, policy, {} }, length,
                                                    line));

    std::printf ("deployment  load          policy        requests  computed  factor  first p95  gap p95  "
                 "within   cost/1000  moves   slow\n");

    for (auto& row : rows)
        printRow (row.get());

    return 0;
}
