#pragma once

#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

namespace snowrudder
{

/** One error in a settings document. */
struct SettingsError
{
    /** The file name as given, or a label for a document that is not from a file, such as `body`. */
    std::string file;
    /** Line number, counted from 1; 0 if unknown. */
    std::size_t line = 0;
    /** Member names joined by dots, list indices in brackets: `services.push.repeat_rules[0].path_prefix`. */
    std::string path;
    std::string message;
};

/** @returns `FILE:LINE: PATH: MESSAGE` */
inline auto toString (const SettingsError& error) -> std::string
{
    auto text = error.file;

    if (error.line > 0)
        text += ":" + std::to_string (error.line);

    if (! error.path.empty())
        text += ": " + error.path;

    return text + ": " + error.message;
}

using SettingsErrors = std::vector<SettingsError>;

/** Prints errors to standard error, one per line, prefixed with the program's name. */
inline auto printErrors (const char* program, const SettingsErrors& errors) -> void
{
    for (const auto& error : errors)
        std::fprintf (stderr, "%s: %s\n", program, toString (error).c_str());
}

} // namespace snowrudder
