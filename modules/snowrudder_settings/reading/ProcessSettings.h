#pragma once

#include "MessageReader.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdio>
#include <cstdlib>

namespace snowrudder
{

/** Reads a process's own settings as its command line asks. Prints every error and ends the process when the
    file is not valid, or when only a check was asked for.

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
