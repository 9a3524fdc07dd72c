#include "snowrudder_admin/snowrudder_admin.h"
#include "snowrudder_settings/snowrudder_settings.h"

/** Serves the administration API, through which operators read and edit the settings tree. */
auto main (int argumentCount, char** arguments) -> int
{
    using namespace snowrudder;
    prepareSignals();
    constexpr auto program = "snowrudder-admin";

    const auto line =
        readCommandLine (argumentCount, arguments,
                         { program,
                           "The administration API: operators read and edit the settings tree through it.",
                           true,
                           {} });
    const auto settings = loadProcessSettings<schema::AdminSettings> (line, program);
    startLogging (settings.node().name(), line.logLevel);

    EventLoop loop (1);
    AdminState state (loop, settings);
    return runServer (loop, settings.listen(), program, {},
                      [&] (Exchange& exchange) { return handleAdmin (state, exchange); });
}
