#include "snowrudder_ctl/snowrudder_ctl.h"
#include "snowrudder_settings/snowrudder_settings.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

/** The operators' command-line client of the administration API. */
auto main (int argumentCount, char** arguments) -> int
{
    using namespace snowrudder;
    constexpr auto program = "snowrudderctl";
    constexpr auto keyVariable = "SNOWRUDDER_KEY";
    constexpr auto adminVariable = "SNOWRUDDER_ADMIN";

    const auto line = readCommandLine (
        argumentCount, arguments,
        { program,
          "The operators' command line, a client of snowrudder-admin.\n\n" + std::string (commandHelp),
          false,
          { { "admin", "IP:PORT", "the administration API (else $SNOWRUDDER_ADMIN)" },
            { "key-file", "FILE", "holds the operator's key (else $SNOWRUDDER_KEY)" },
            { "edit-id", "NAME", "makes asking again safe" },
            { "revision", "N", "the revision that an edit starts from" },
            { "json", "", "prints the API's answer as it came" } } });

    const auto variable = [] (const char* name)
    {
        const auto* value = std::getenv (name); // NOLINT(concurrency-mt-unsafe): one thread
        return std::string (value == nullptr ? "" : value);
    };
    const auto address = line.option ("admin", variable (adminVariable));
    auto key = variable (keyVariable);

    if (const auto file = line.option ("key-file"); ! file.empty())
        key = readKeyFile (file);

    if (! isEndpoint (address))
    {
        std::fprintf (stderr, "%s: --admin IP:PORT is needed (see --help)\n", program);
        return static_cast<int> (ExitCode::usage);
    }

    CommandInput input;
    input.words = line.arguments;
    input.asJson =
        std::ranges::any_of (line.options, [] (const auto& entry) { return entry.first == "json"; });
    input.editId = line.option ("edit-id");
    input.revision = line.option ("revision");

    AdminClient client (address, key);
    return static_cast<int> (runCommand (client, input));
}
