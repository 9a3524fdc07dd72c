#include "LoadReport.h"

#include "../workload/RequestSource.h"

#include <cstdio>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

auto countClassBreaches (const ClassResult& result) -> std::uint64_t
{
    return result.wrong + result.truncated + result.duplicated + result.unanswered + result.misreported;
}

/** Quantiles are accurate to 2.4%, which the fixed width of the histogram's bins determines. */
auto quantiles (const TimeHistogram& histogram) -> json::object
{
    json::object object;
    object["p50"] = inMilliseconds (histogram.quantile (0.5));
    object["p95"] = inMilliseconds (histogram.quantile (0.95));
    object["p99"] = inMilliseconds (histogram.quantile (0.99));
    return object;
}

auto classJson (const ClassResult& result) -> json::object
{
    json::object errors;

    for (const auto& [kind, count] : result.errors)
        errors[kind] = count;

    json::object object;
    object["requests"] = result.requests;
    object["good"] = result.good;
    object["within_target"] = result.withinTarget;
    object["wrong"] = result.wrong;
    object["cut"] = result.truncated;
    object["doubled"] = result.duplicated;
    object["lost"] = result.unanswered;
    object["untrue"] = result.misreported;
    object["unreachable"] = result.unreachable;
    object["resumed"] = result.resumed;
    object["tokens"] = result.tokens;
    object["errors"] = std::move (errors);
    object["first_token_milliseconds"] = quantiles (result.firstToken);
    object["between_tokens_milliseconds"] = quantiles (result.betweenTokens);
    object["total_milliseconds"] = quantiles (result.total);
    return object;
}

auto printTimes (const char* what, const TimeHistogram& histogram) -> void
{
    if (histogram.count() == 0)
        return;

    std::printf ("    %-16s p50 %8.2f ms   p95 %8.2f ms   p99 %8.2f ms\n", what,
                 inMilliseconds (histogram.quantile (0.5)), inMilliseconds (histogram.quantile (0.95)),
                 inMilliseconds (histogram.quantile (0.99)));
}

auto printClass (const std::string& name, const ClassResult& result) -> void
{
    std::printf ("%-16s %7llu requests, %llu good, %llu within target, %llu resumed\n", name.c_str(),
                 static_cast<unsigned long long> (result.requests),
                 static_cast<unsigned long long> (result.good),
                 static_cast<unsigned long long> (result.withinTarget),
                 static_cast<unsigned long long> (result.resumed));

    std::printf (
        "    checked          wrong %llu, cut %llu, doubled %llu, lost %llu, untrue %llu; unreachable %llu\n",
        static_cast<unsigned long long> (result.wrong), static_cast<unsigned long long> (result.truncated),
        static_cast<unsigned long long> (result.duplicated),
        static_cast<unsigned long long> (result.unanswered),
        static_cast<unsigned long long> (result.misreported),
        static_cast<unsigned long long> (result.unreachable));

    for (const auto& [kind, count] : result.errors)
        std::printf ("    error            %s: %llu\n", kind.c_str(),
                     static_cast<unsigned long long> (count));

    printTimes ("first token", result.firstToken);
    printTimes ("between tokens", result.betweenTokens);
    printTimes ("whole answer", result.total);
}

auto countWithinTarget (const LoadResult& result) -> std::uint64_t
{
    auto count = std::uint64_t { 0 };

    for (const auto& entry : result.classes)
        count += entry.withinTarget;

    return count;
}

auto costPerThousand (const LoadResult& result, const UpstreamCounts& counts) -> double
{
    const auto good = static_cast<double> (countWithinTarget (result));
    const auto hours = std::chrono::duration<double, std::ratio<3600>> (result.elapsed).count();
    constexpr auto thousand = 1000.0;
    return good > 0.0 ? counts.price * hours / good * thousand : 0.0;
}

} // namespace

auto checkCalls (LoadResult& result, const UpstreamCounts& counts) -> void
{
    for (const auto& [key, call] : result.calls)
    {
        const auto found = counts.runsByKey.find (key);
        const auto runs = found == counts.runsByKey.end() ? 0 : found->second;
        auto& entry = result.classes[call.classIndex];

        if (runs > 1)
            ++entry.duplicated;

        if ((call.wasSuccessful && runs == 0) || (call.wasReportedNotRun && ! call.wasSuccessful && runs > 0))
            ++entry.misreported;
    }
}

auto minPromptTokens (const LoadResult& result) -> std::uint64_t
{
    return result.promptBlocks.size() * engineBlockTokens + result.promptRemainders;
}

auto countBreaches (const LoadResult& result) -> std::uint64_t
{
    auto count = std::uint64_t { 0 };

    for (const auto& entry : result.classes)
        count += countClassBreaches (entry);

    return count;
}

auto printReport (const LoadResult& result,
                  const UpstreamCounts& counts,
                  const schema::LoadSettings& workload) -> void
{
    for (auto index = std::size_t { 0 }; index < result.classes.size(); ++index)
    {
        const auto& name = workload.classes (static_cast<int> (index)).name();
        printClass (name, result.classes[index]);

        if (result.direct[index].requests > 0)
            printClass (name + " (direct)", result.direct[index]);
    }

    const auto minimum = minPromptTokens (result);
    const auto computed = counts.computedPromptTokens;
    std::printf ("\nprompt tokens    %llu computed, %llu from caches; least possible %llu; recomputed %lld "
                 "(factor %.3f)\n",
                 static_cast<unsigned long long> (computed),
                 static_cast<unsigned long long> (counts.cachedPromptTokens),
                 static_cast<unsigned long long> (minimum),
                 static_cast<long long> (computed) - static_cast<long long> (minimum),
                 minimum == 0 ? 0.0 : static_cast<double> (computed) / static_cast<double> (minimum));
    std::printf ("cost             %.4f for 1,000 requests within the target (VMs at %.2f an hour, %.1f s)\n",
                 costPerThousand (result, counts), counts.price,
                 std::chrono::duration<double> (result.elapsed).count());
    std::printf ("promises broken  %llu\n", static_cast<unsigned long long> (countBreaches (result)));
}

auto reportJson (const LoadResult& result, const UpstreamCounts& counts, const schema::LoadSettings& workload)
    -> json::object
{
    json::object classes;

    for (auto index = std::size_t { 0 }; index < result.classes.size(); ++index)
    {
        const auto& name = workload.classes (static_cast<int> (index)).name();
        classes[name] = classJson (result.classes[index]);

        if (result.direct[index].requests > 0)
            classes[name + "-direct"] = classJson (result.direct[index]);
    }

    json::object object;
    object["classes"] = std::move (classes);
    object["computed_prompt_tokens"] = counts.computedPromptTokens;
    object["cached_prompt_tokens"] = counts.cachedPromptTokens;
    object["least_prompt_tokens"] = minPromptTokens (result);
    object["cost_per_thousand"] = costPerThousand (result, counts);
    object["elapsed_seconds"] = std::chrono::duration<double> (result.elapsed).count();
    object["breaches"] = countBreaches (result);
    return object;
}

} // namespace snowrudder
