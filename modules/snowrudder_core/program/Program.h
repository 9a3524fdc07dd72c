#pragma once

#include "../log/Log.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowrudder
{

/** Exit codes of all programs, documented in docs/operators/README.md. */
enum class ExitCode
{
    success = 0,
    /** The program ran and detected a failure: a failed check or an error response, for example. */
    failed = 1,
    /** The command line is not valid. */
    usage = 2,
    /** A settings file could not be read or is not valid. */
    settings = 3,
    /** Listening on an address failed, or a required peer is not reachable. */
    unavailable = 4
};

/** The command line options and arguments of a program. */
struct CommandLine
{
    std::string settingsFile;
    bool checkSettings = false;
    LogLevel logLevel = LogLevel::info;
    /** Options specific to the program, by their long names, in the order given. */
    std::vector<std::pair<std::string, std::string>> options;
    /** The arguments that follow the options. */
    std::vector<std::string> arguments;

    /** @returns the last value given for an option, or the fallback. */
    [[nodiscard]] auto option (std::string_view name, std::string_view fallback = {}) const -> std::string;
};

/** Describes an option. The options of a program itself always take a value. */
struct OptionHelp
{
    std::string name;
    std::string value;
    std::string help;
};

/** The content of a program's `--help`. */
struct ProgramHelp
{
    std::string name;
    std::string summary;
    /** Whether `--settings` is required. */
    bool needsSettings = true;
    std::vector<OptionHelp> options;
};

/** Parses the command line with getopt_long. Exits the process after `--help`, `--version` or a usage error. */
auto readCommandLine (int argumentCount, char** arguments, const ProgramHelp& help) -> CommandLine;

/** Flushes logs and output, then exits without running the destructors of static objects. In those destructors the log
    library stops its own threads, and a process can hang there: in a rolling stop of all nodes on a quarter of a core
    each, in virtual time, seven of seven stopping processes hung until they were killed at the end of their grace
    period, 4 s after they had closed everything, so that their VMs served for 4 s less. Without the destructors, none
    hung.
*/
[[noreturn]] auto exitProcess (ExitCode code) -> void;

/** The version printed by `--version`. */
inline constexpr auto versionText = std::string_view ("0.1.0");

} // namespace snowrudder
