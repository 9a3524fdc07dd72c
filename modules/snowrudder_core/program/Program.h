#pragma once

#include "../log/Log.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowrudder
{

/** Exit codes of every program, listed in docs/operators/README.md. */
enum class ExitCode
{
    success = 0,
    /** The work was done and found something wrong: a check failed, an answer was bad. */
    failed = 1,
    /** The command line could not be understood. */
    usage = 2,
    /** A settings file could not be read or is not valid. */
    settings = 3,
    /** An address could not be listened on, or a needed peer could not be reached. */
    unavailable = 4
};

/** What all programs take from their command line. */
struct CommandLine
{
    std::string settingsFile;
    bool checkSettings = false;
    LogLevel logLevel = LogLevel::info;
    /** The program's own options, by their long names, in the order given. */
    std::vector<std::pair<std::string, std::string>> options;
    /** What follows the options. */
    std::vector<std::string> arguments;

    /** @returns the last value of an option, or the fallback. */
    [[nodiscard]] auto option (std::string_view name, std::string_view fallback = {}) const -> std::string;
};

/** One option of a program's own. It always takes a value. */
struct OptionHelp
{
    std::string name;
    std::string value;
    std::string help;
};

/** What `--help` says of a program. */
struct ProgramHelp
{
    std::string name;
    std::string summary;
    /** Whether `--settings` must be given. */
    bool needsSettings = true;
    std::vector<OptionHelp> options;
};

/** Reads the command line with getopt_long. Ends the process after `--help`, `--version` or a usage error. */
auto readCommandLine (int argumentCount, char** arguments, const ProgramHelp& help) -> CommandLine;

/** Ends the process with what was logged and printed written out, but without the destructors of static objects. There, where the
    log library ends threads of its own, seven of seven stopping processes stayed until they were killed at the end of their
    grace time, 4 s after all that they had was closed, and their VMs served 4 s less (a rolling stop of all nodes on a
    quarter of a core each, virtual time; without, none).
*/
[[noreturn]] auto exitProcess (ExitCode code) -> void;

/** The version that `--version` prints. */
inline constexpr auto versionText = std::string_view ("0.1.0");

} // namespace snowrudder
