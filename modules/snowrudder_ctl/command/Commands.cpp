#include "Commands.h"

#include "snowrudder_settings/snowrudder_settings.h"

#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto settingsTarget = "/v1/settings";

auto print (const std::string& text) -> void
{
    std::fputs (text.c_str(), stdout);
}

auto printError (const std::string& text) -> void
{
    std::fprintf (stderr, "snowrudderctl: %s\n", text.c_str());
}

auto textOf (const json::value& value) -> std::string
{
    return value.is_string() ? std::string (value.get_string()) : json::serialize (value);
}

/** @returns a member of a JSON object, or null if there is none. */
auto memberIn (const json::value& value, std::string_view name) -> json::value
{
    const auto* member = value.is_object() ? memberOf (value.get_object(), name) : nullptr;
    return member == nullptr ? json::value() : *member;
}

auto printChanges (const json::value& changes) -> void
{
    if (! changes.is_array())
        return;

    for (const auto& change : changes.get_array())
        print ("  " + textOf (memberIn (change, "path")) + ": " +
               json::serialize (memberIn (change, "before")) + " -> " +
               json::serialize (memberIn (change, "after")) + "\n");
}

auto printList (const json::value& list) -> void
{
    if (list.is_array())
        for (const auto& entry : list.get_array())
            printError (textOf (entry));
}

/** Prints the reason why a call to the API failed. */
auto printFailure (const AdminResponse& response) -> ExitCode
{
    if (response.error)
    {
        printError ("the administration API can't be reached: " + response.error.message());
        return ExitCode::unavailable;
    }

    const auto kind = textOf (memberIn (response.body, "kind"));
    const auto detail = memberIn (response.body, "detail");
    const auto title = memberIn (response.body, "title");
    printError (kind + ": " + textOf (detail.is_null() ? title : detail));
    printList (memberIn (response.body, "errors"));

    if (kind == toString (ErrorKind::editConflict))
    {
        printError ("the tree is at revision " + json::serialize (memberIn (response.body, "revision")) +
                    " now");
        printChanges (memberIn (response.body, "changes"));
    }

    if (kind == toString (ErrorKind::editUnknown))
        printError ("ask again with --edit-id " + textOf (memberIn (response.body, "edit_id")) +
                    " and the same --revision");

    return ExitCode::failed;
}

/** Prints a response as JSON, or as text by means of a function. */
auto printResponse (const CommandInput& input,
                    const AdminResponse& response,
                    const std::function<auto(const json::value&)->void>& printText) -> ExitCode
{
    if (input.asJson && ! response.error)
    {
        print (prettyJson (response.body));
        return response.isGood() ? ExitCode::success : ExitCode::failed;
    }

    if (! response.isGood())
        return printFailure (response);

    printText (response.body);
    return ExitCode::success;
}

auto targetOf (const std::string& path) -> std::string
{
    return path.empty() ? settingsTarget : std::string (settingsTarget) + "/" + path;
}

auto readFile (const std::string& file) -> std::optional<std::string>
{
    std::ifstream stream (file, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();

    if (stream)
        return text.str();

    printError (file + ": can't be read");
    return {};
}

/** @returns an argument as JSON; one that is not valid JSON is converted to a JSON string. */
auto valueOf (const std::string& text) -> std::string
{
    boost::system::error_code error;
    const auto value = json::parse (text, error);
    return json::serialize (error ? json::value (text) : value);
}

auto printEdit (const json::value& body) -> void
{
    const auto accepted = memberIn (body, "accepted");
    const auto isAccepted = accepted.is_bool() && accepted.get_bool();
    print ((isAccepted ? "accepted" : "stored, not yet accepted") + std::string (": revision ") +
           json::serialize (memberIn (body, "revision")) + ", held by " +
           json::serialize (memberIn (body, "held_by")) + " routers, edit " +
           textOf (memberIn (body, "edit_id")) + "\n");
}

/** @returns the revision that an edit is based on, or nothing after printing the failure. */
auto startingRevision (AdminClient& client, const CommandInput& input) -> std::optional<std::string>
{
    if (! input.revision.empty())
        return input.revision;

    const auto response = client.call (http::verb::get, settingsTarget);

    if (response.isGood())
        return json::serialize (memberIn (response.body, "revision"));

    printFailure (response);
    return {};
}

auto edit (AdminClient& client,
           const CommandInput& input,
           http::verb method,
           const std::string& path,
           const std::string& body) -> ExitCode
{
    // Based on a newer revision, a retry of an edit that is already stored and followed by others would store it again.
    if (! input.editId.empty() && input.revision.empty())
    {
        printError ("--edit-id needs the --revision that the edit was first asked for with");
        return ExitCode::usage;
    }

    const auto revision = startingRevision (client, input);

    if (! revision)
        return ExitCode::unavailable;

    std::vector<std::pair<std::string, std::string>> headers { { "If-Match", *revision } };

    if (! input.editId.empty())
        headers.emplace_back ("Snowrudder-Edit-Id", input.editId);

    const auto response = client.call (method, targetOf (path), body, headers);
    constexpr auto storedNotAcceptedStatus = 202U;
    const auto code = printResponse (input, response, printEdit);
    return response.status == storedNotAcceptedStatus ? ExitCode::failed : code;
}

auto get (AdminClient& client, const CommandInput& input) -> ExitCode
{
    const auto path = input.words.size() > 1 ? input.words[1] : "";
    return printResponse (input, client.call (http::verb::get, targetOf (path)),
                          [] (const json::value& body)
                          {
                              print ("// revision " + json::serialize (memberIn (body, "revision")) + "\n");
                              print (prettyJson (memberIn (body, "value")));
                          });
}

auto explain (AdminClient& client, const CommandInput& input) -> ExitCode
{
    const auto response = client.call (http::verb::get, targetOf (input.words[1]) + "?effective=true");
    return printResponse (input, response,
                          [] (const json::value& body)
                          {
                              const auto policy = memberIn (body, "effective");

                              for (const auto& member : policy.as_object())
                                  std::printf ("%-22s %-24s from %s\n", std::string (member.key()).c_str(),
                                               textOf (memberIn (member.value(), "value")).c_str(),
                                               textOf (memberIn (member.value(), "from")).c_str());
                          });
}

auto set (AdminClient& client, const CommandInput& input) -> ExitCode
{
    return edit (client, input, http::verb::put, input.words[1], valueOf (input.words[2]));
}

auto unset (AdminClient& client, const CommandInput& input) -> ExitCode
{
    return edit (client, input, http::verb::delete_, input.words[1], "");
}

auto check (AdminClient& client, const CommandInput& input) -> ExitCode
{
    const auto text = readFile (input.words[1]);

    if (! text)
        return ExitCode::settings;

    const auto response = client.call (http::verb::post, "/v1/settings:check", *text);
    const auto valid = memberIn (response.body, "valid");
    const auto code =
        printResponse (input, response,
                       [&] (const json::value& body)
                       {
                           printList (memberIn (body, "errors"));
                           print (valid.is_bool() && valid.get_bool() ? "valid\n" : "not valid\n");
                       });
    const auto isValid = valid.is_bool() && valid.get_bool();
    return code == ExitCode::success && ! isValid ? ExitCode::failed : code;
}

auto diff (AdminClient& client, const CommandInput& input) -> ExitCode
{
    const auto text = readFile (input.words[1]);
    const auto newTree = text ? parseTree (*text) : std::nullopt;

    if (! newTree)
    {
        printError (input.words[1] + ": is not JSON");
        return ExitCode::settings;
    }

    return printResponse (input, client.call (http::verb::get, settingsTarget),
                          [&] (const json::value& body)
                          {
                              const auto changes = diffTrees (memberIn (body, "value"), *newTree);

                              for (const auto& change : changes)
                                  print (change.path + ": " + json::serialize (change.before) + " -> " +
                                         json::serialize (change.after) + "\n");
                          });
}

auto apply (AdminClient& client, const CommandInput& input) -> ExitCode
{
    const auto text = readFile (input.words[1]);
    return text ? edit (client, input, http::verb::put, "", *text) : ExitCode::settings;
}

auto history (AdminClient& client, const CommandInput& input) -> ExitCode
{
    return printResponse (input, client.call (http::verb::get, "/v1/settings/history"),
                          [] (const json::value& body)
                          {
                              const auto revisions = memberIn (body, "revisions");

                              for (const auto& entry : revisions.as_array())
                              {
                                  const auto mark = memberIn (entry, "edit");
                                  const auto author = memberIn (mark, "author");
                                  print ("revision " + json::serialize (memberIn (entry, "revision")) + "  " +
                                         (author.is_null() ? "" : "by " + textOf (author)) + "\n");
                                  printChanges (memberIn (entry, "changes"));
                              }
                          });
}

auto undo (AdminClient& client, const CommandInput& input) -> ExitCode
{
    const auto earlier = client.call (http::verb::get, "/v1/settings/history/" + input.words[1]);

    if (! earlier.isGood())
        return printFailure (earlier);

    return edit (client, input, http::verb::put, "", json::serialize (memberIn (earlier.body, "value")));
}

auto status (AdminClient& client, const CommandInput& input) -> ExitCode
{
    const auto printRouters = [] (const json::value& body)
    {
        const auto reached = memberIn (body, "platform_reached");
        print ("platform's service: " + std::string (reached == true ? "reached" : "not reached") +
               ", revision " + json::serialize (memberIn (body, "revision")) + "\n");
        std::printf ("%-16s %-16s %-8s %-9s %-8s %s\n", "router", "domain", "revision", "state", "replicas",
                     "open");

        const auto routers = memberIn (body, "routers");

        for (const auto& router : routers.as_array())
        {
            const auto isReached = memberIn (router, "reached") == true;
            const auto* state = ! isReached                            ? "no answer"
                                : memberIn (router, "leaving") == true ? "leaving"
                                : memberIn (router, "ready") == true   ? "ready"
                                                                       : "not ready";
            std::printf ("%-16s %-16s %-8s %-9s %-8s %s\n", textOf (memberIn (router, "name")).c_str(),
                         textOf (memberIn (router, "failure_domain")).c_str(),
                         textOf (memberIn (router, "revision")).c_str(), state,
                         textOf (memberIn (router, "usable_replicas")).c_str(),
                         textOf (memberIn (router, "open_requests")).c_str());
        }
    };
    return printResponse (input, client.call (http::verb::get, "/v1/status"), printRouters);
}

struct Command
{
    std::function<auto(AdminClient&, const CommandInput&)->ExitCode> run;
    std::size_t minArguments = 1;
    std::size_t maxArguments = 1;
};

auto allCommands() -> const std::map<std::string, Command>&
{
    static const std::map<std::string, Command> commands {
        { "get", { get, 1, 2 } },       { "explain", { explain, 2, 2 } }, { "set", { set, 3, 3 } },
        { "unset", { unset, 2, 2 } },   { "check", { check, 2, 2 } },     { "diff", { diff, 2, 2 } },
        { "apply", { apply, 2, 2 } },   { "history", { history, 1, 1 } }, { "undo", { undo, 2, 2 } },
        { "status", { status, 1, 1 } },
    };
    return commands;
}

} // namespace

auto runCommand (AdminClient& client, const CommandInput& input) -> ExitCode
{
    const auto found = input.words.empty() ? allCommands().end() : allCommands().find (input.words.front());

    if (found == allCommands().end())
    {
        printError ("no such command (see --help)");
        return ExitCode::usage;
    }

    const auto& command = found->second;

    if (input.words.size() < command.minArguments || input.words.size() > command.maxArguments)
    {
        printError ("the command \"" + found->first + "\" takes other arguments (see --help)");
        return ExitCode::usage;
    }

    return command.run (client, input);
}

} // namespace snowrudder
