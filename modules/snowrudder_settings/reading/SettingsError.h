#pragma once

#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

namespace snowrudder
{

/** One thing wrong with a settings document. */
struct SettingsError
{
    /** The file as it was named, or a word for where the document came from. */
    std::string file;
    /** Counted from 1; 0 where no line can be named. */
    std::size_t line = 0;
    /** Names joined by dots, list positions in brackets: `services.push.repeat_rules[0].path_prefix`. */
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

/** Prints errors to standard error, one line each, behind a program's name. */
inline auto printErrors (const char* program, const SettingsErrors& errors) -> void
{
    for (const auto& error : errors)
        std::fprintf (stderr, "%s: %s\n", program, toString (error).c_str());
}

} // namespace snowrudder
