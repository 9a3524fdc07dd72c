#include "snowrudder_fakes/snowrudder_fakes.h"
#include "snowrudder_settings/snowrudder_settings.h"

/** Simulates one model engine. */
auto main (int argumentCount, char** arguments) -> int
{
    using namespace snowrudder;
    prepareSignals();
    constexpr auto program = "snowrudder-fake-engine";

    const auto line =
        readCommandLine (argumentCount, arguments,
                         { program, "A stand-in for one model engine, for tests and trials.", true, {} });
    const auto settings = loadProcessSettings<schema::FakeEngineSettings> (line, program);
    startLogging (settings.name(), line.logLevel);

    EventLoop loop (1);
    FakeEngine engine (loop, settings);
    engine.start();
    return runFakeServer (loop, settings.listen(), program,
                          [&] (Exchange& exchange) { return engine.handle (exchange); });
}
