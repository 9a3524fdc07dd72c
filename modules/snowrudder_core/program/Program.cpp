#include "Program.h"

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace snowrudder
{

namespace
{

auto standardOptions() -> std::vector<OptionHelp>
{
    return { { "settings", "FILE", "settings, JSON with comments" },
             { "check-settings", "", "check the settings and end" },
             { "log-level", "LEVEL", "debug, info, warning or error" },
             { "help", "", "print this" },
             { "version", "", "print the version" } };
}

auto allOptions (const ProgramHelp& help) -> std::vector<OptionHelp>
{
    auto options = standardOptions();
    options.insert (options.end(), help.options.begin(), help.options.end());
    return options;
}

auto printHelp (const ProgramHelp& help) -> void
{
    std::printf ("usage: %s [options]\n\n%s\n\noptions:\n", help.name.c_str(), help.summary.c_str());

    for (const auto& option : allOptions (help))
    {
        const auto syntax = "--" + option.name + (option.value.empty() ? "" : " " + option.value);
        std::printf ("  %-28s %s\n", syntax.c_str(), option.help.c_str());
    }
}

[[noreturn]] auto exitWithUsageError (const ProgramHelp& help, const std::string& message) -> void
{
    std::fprintf (stderr, "%s: %s (see --help)\n", help.name.c_str(), message.c_str());
    std::exit (static_cast<int> (ExitCode::usage));
}

auto applyOption (CommandLine& line, const ProgramHelp& help, const std::string& name, const char* value)
    -> void
{
    if (name == "help")
    {
        printHelp (help);
        std::exit (static_cast<int> (ExitCode::success));
    }

    if (name == "version")
    {
        std::printf ("%s %s\n", help.name.c_str(), std::string (versionText).c_str());
        std::exit (static_cast<int> (ExitCode::success));
    }

    if (name == "settings")
        line.settingsFile = value;
    else if (name == "check-settings")
        line.checkSettings = true;
    else if (name == "log-level")
        line.logLevel = logLevelFromName (value);
    else
        line.options.emplace_back (name, value == nullptr ? "" : value);
}

} // namespace

auto CommandLine::option (std::string_view name, std::string_view fallback) const -> std::string
{
    const auto found = std::find_if (options.rbegin(), options.rend(),
                                     [name] (const auto& entry) { return entry.first == name; });
    return found == options.rend() ? std::string (fallback) : found->second;
}

auto readCommandLine (int argumentCount, char** arguments, const ProgramHelp& help) -> CommandLine
{
    const auto options = allOptions (help);
    std::vector<::option> native;
    native.reserve (options.size() + 1);

    for (const auto& option : options)
        native.push_back (
            { option.name.c_str(), option.value.empty() ? no_argument : required_argument, nullptr, 0 });

    native.push_back ({ nullptr, 0, nullptr, 0 });

    CommandLine line;
    auto index = 0;
    opterr = 0;

    for (;;)
    {
        const auto code = getopt_long (argumentCount, arguments, "", native.data(),
                                       &index); // NOLINT(concurrency-mt-unsafe)

        if (code == -1)
            break;

        if (code != 0)
            exitWithUsageError (help, std::string ("option not known or without its value: ") +
                                          arguments[optind - 1]);

        applyOption (line, help, options[static_cast<std::size_t> (index)].name, optarg);
    }

    for (auto position = optind; position < argumentCount; ++position)
        line.arguments.emplace_back (arguments[position]);

    if (help.needsSettings && line.settingsFile.empty())
        exitWithUsageError (help, "--settings FILE is needed");

    return line;
}

auto exitProcess (ExitCode code) -> void
{
    flushLog();
    std::fflush (nullptr);
    std::quick_exit (static_cast<int> (code));
}

} // namespace snowrudder
