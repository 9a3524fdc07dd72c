#include "platform/PlatformFace.h"
#include "snowrudder_router/snowrudder_router.h"
#include "snowrudder_settings/snowrudder_settings.h"

#include <cstdio>

namespace
{

using namespace snowrudder;

constexpr auto program = "snowrudder-router";

/** Serves the product's own interface. */
auto runOwnInterface (const CommandLine& line) -> ExitCode
{
    if (line.settingsFile.empty())
    {
        std::fprintf (stderr, "%s: --settings FILE is needed (see --help)\n", program);
        return ExitCode::usage;
    }

    const auto settings = loadProcessSettings<schema::RouterSettings> (line, program);
    startLogging (settings.node().name(), line.logLevel);

    Router router (settings);

    if (const auto error = router.run())
    {
        std::fprintf (stderr, "%s: can't listen on %s: %s\n", program, settings.listen().c_str(),
                      error.message().c_str());
        return ExitCode::unavailable;
    }

    return ExitCode::success;
}

} // namespace

/** Receives requests from callers and relays them to upstream replicas. */
auto main (int argumentCount, char** arguments) -> int
{
    prepareSignals();
    prepareAllocator();

    const auto needsSettings = false;
    const auto line = readCommandLine (
        argumentCount, arguments,
        { program,
          "Takes requests from callers, picks an upstream replica, relays the answer.",
          needsSettings,
          { { "face", "FACE",
              "own (the usual) or platform: whose interface is served, and whose settings are read" },
            { "metrics-port", "PORT",
              "where the platform's face serves its figures; without it they are not served" } } });
    const auto face = line.option ("face", "own");

    if (face == "platform")
        exitProcess (platform::runOnPlatform (line));

    if (face == "own")
        exitProcess (runOwnInterface (line));

    std::fprintf (stderr, "%s: --face takes own or platform (see --help)\n", program);
    return static_cast<int> (ExitCode::usage);
}
