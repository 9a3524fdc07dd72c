#pragma once

#include "AdminClient.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** The arguments and options of a command. */
struct CommandInput
{
    /** The command's name followed by its arguments. */
    std::vector<std::string> words;
    /** Whether the API's response is printed as JSON. */
    bool asJson = false;
    /** Identifier that makes retries idempotent; if empty, the API generates one. */
    std::string editId;
    /** The revision that an edit is based on; if empty, the current one. */
    std::string revision;
};

/** Runs a command and prints the response.

    @returns the process's exit code
*/
auto runCommand (AdminClient& client, const CommandInput& input) -> ExitCode;

/** The list of commands for `--help`. */
inline constexpr auto commandHelp =
    std::string_view ("commands:\n"
                      "  get [PATH]        what is set in the tree, such as accounts/city/policy\n"
                      "  explain ACCOUNT   what holds for a client account, and which level gives it\n"
                      "  set PATH VALUE    sets a value, JSON or plain text\n"
                      "  unset PATH        takes a value out, so that it is inherited\n"
                      "  check FILE        checks a whole tree without storing it\n"
                      "  diff FILE         what a whole tree would change\n"
                      "  apply FILE        stores a whole tree\n"
                      "  history           revisions with their edits\n"
                      "  undo REVISION     makes an earlier revision's tree the new one\n"
                      "  status            routers, the revision in force on each, replicas");

} // namespace snowrudder
