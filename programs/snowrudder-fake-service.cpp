#include "snowrudder_fakes/snowrudder_fakes.h"
#include "snowrudder_settings/snowrudder_settings.h"

/** Simulates one replica of a plain service. */
auto main (int argumentCount, char** arguments) -> int
{
    using namespace snowrudder;
    prepareSignals();
    constexpr auto program = "snowrudder-fake-service";

    const auto line = readCommandLine (
        argumentCount, arguments,
        { program, "A stand-in for one replica of a plain service, for tests and trials.", true, {} });
    const auto settings = loadProcessSettings<schema::FakeServiceSettings> (line, program);
    startLogging (settings.name(), line.logLevel);

    EventLoop loop (1);
    FakeService service (loop, settings);
    return runFakeServer (loop, settings.listen(), program,
                          [&] (Exchange& exchange) { return service.handle (exchange); });
}
