#include "snowrudder_load/snowrudder_load.h"
#include "snowrudder_settings/snowrudder_settings.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace
{

using namespace snowrudder;

constexpr auto program = "snowrudder-load";

auto loadHelp() -> ProgramHelp
{
    return { program,
             "Sends a workload to routers, open loop, and checks every answer. Ends with 1 when a promise "
             "was broken.",
             true,
             { { "routers", "LIST", "routers' IP-NUMBER:PORT, joined by commas" },
               { "platform", "ENDPOINT", "the platform, for the upstreams' counts" },
               { "seconds", "N", "how long to send (20)" },
               { "patience", "N", "how many seconds to wait for answers after that (90)" },
               { "threads", "N", "sending threads (1)" },
               { "rate-factor", "X", "multiplies every rate (1)" },
               { "compare-direct", "YES", "yes: make every second request directly to an upstream" },
               { "json", "FILE", "write the report as JSON too" } } };
}

auto splitEndpoints (const std::string& list) -> std::vector<tcp::endpoint>
{
    std::vector<tcp::endpoint> endpoints;

    for (auto begin = std::size_t { 0 }; begin < list.size();)
    {
        const auto end = std::min (list.find (',', begin), list.size());
        endpoints.push_back (parseEndpoint (std::string_view (list).substr (begin, end - begin)));
        begin = end + 1;
    }

    return endpoints;
}

auto makePlan (const CommandLine& line) -> LoadPlan
{
    LoadPlan plan;
    plan.routers = splitEndpoints (line.option ("routers"));
    plan.platform = parseEndpoint (line.option ("platform"));
    plan.length = std::chrono::seconds (std::atoi (line.option ("seconds", "20").c_str()));
    plan.drainTimeout = std::chrono::seconds (std::atoi (line.option ("patience", "90").c_str()));
    plan.threads =
        static_cast<std::uint32_t> (std::max (1, std::atoi (line.option ("threads", "1").c_str())));
    plan.rateFactor = std::atof (line.option ("rate-factor", "1").c_str());
    plan.compareDirect = line.option ("compare-direct") == "yes";
    return plan;
}

} // namespace

/** Sends a workload to routers and checks every answer. */
auto main (int argumentCount, char** arguments) -> int
{
    const auto line = readCommandLine (argumentCount, arguments, loadHelp());
    const auto workload = loadProcessSettings<schema::LoadSettings> (line, program);
    startLogging (program, line.logLevel);

    const auto plan = makePlan (line);

    if (plan.routers.empty() || plan.routers.front().port() == 0 || plan.length <= Duration::zero() ||
        plan.rateFactor <= 0.0)
    {
        std::fprintf (stderr, "%s: needs --routers, and --seconds and --rate-factor above 0 (see --help)\n",
                      program);
        return static_cast<int> (ExitCode::usage);
    }

    UpstreamCounts before;

    if (! addUpstreamCounts (plan, before))
    {
        std::fprintf (stderr, "%s: the platform gives no VM list at the --platform address\n", program);
        return static_cast<int> (ExitCode::unavailable);
    }

    LoadResult result (static_cast<std::size_t> (workload.classes_size()));
    runLoad (workload, plan, result);

    UpstreamCounts after;
    after.endpoints = before.endpoints;
    addUpstreamCounts (plan, after);
    const auto counts = countsBetween (before, std::move (after));
    checkCalls (result, counts);
    printReport (result, counts, workload);

    if (const auto file = line.option ("json"); ! file.empty())
        std::ofstream (file) << boost::json::serialize (reportJson (result, counts, workload)) << '\n';

    return static_cast<int> (countBreaches (result) == 0 ? ExitCode::success : ExitCode::failed);
}
