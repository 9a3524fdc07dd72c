#include "snowrudder_fakes/snowrudder_fakes.h"
#include "snowrudder_settings/snowrudder_settings.h"

#include <cstdio>

/** Simulates the platform. */
auto main (int argumentCount, char** arguments) -> int
{
    using namespace snowrudder;
    prepareSignals();
    constexpr auto program = "snowrudder-fake-platform";

    const auto line = readCommandLine (
        argumentCount, arguments,
        { program,
          "A stand-in for the platform: key-value service, VM list, cloud API, weight store.",
          true,
          {} });
    const auto settings = loadProcessSettings<schema::FakePlatformSettings> (line, program);
    startLogging (program, line.logLevel);

    EventLoop loop (1);
    FakePlatform platform (loop, settings);

    if (const auto error = platform.loadInitialState (line.settingsFile); ! error.empty())
    {
        std::fprintf (stderr, "%s: %s\n", program, error.c_str());
        return static_cast<int> (ExitCode::settings);
    }

    platform.start();
    return runFakeServer (loop, settings.listen(), program,
                          [&] (Exchange& exchange) { return platform.handle (exchange); });
}
