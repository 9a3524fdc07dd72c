#pragma once

#include "MessageReader.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdio>
#include <cstdlib>

namespace snowrudder
{

/** Reads the settings file named on the command line. If the file is not valid, prints all errors and exits with
    ExitCode::settings. If the command line requests only a check, exits with ExitCode::success.

    @param line     the command line
    @param program  the program's name, for messages
*/
template <typename Settings>
auto loadProcessSettings (const CommandLine& line, const char* program) -> Settings
{
    Settings settings;
    const auto errors = readMessageFile (line.settingsFile, settings);

    printErrors (program, errors);

    if (! errors.empty())
        std::exit (static_cast<int> (ExitCode::settings));

    if (line.checkSettings)
    {
        std::printf ("%s: valid\n", line.settingsFile.c_str());
        std::exit (static_cast<int> (ExitCode::success));
    }

    return settings;
}

} // namespace snowrudder
