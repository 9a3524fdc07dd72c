#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace snowrudder
{

enum class LogLevel
{
    debug,
    info,
    warning,
    error
};

/** One structured log line: an event's name, then `name=value` pairs. Values with spaces are quoted. Prompts,
    bodies and keys are never logged.
*/
class LogLine
{
public:
    /** @param event  what happened, in snake_case */
    explicit LogLine (std::string_view event) : text (event) {}

    auto with (std::string_view name, std::string_view value) -> LogLine&;
    auto with (std::string_view name, const char* value) -> LogLine&
    {
        return with (name, std::string_view (value));
    }

    template <typename Number>
    requires std::integral<Number>
    auto with (std::string_view name, Number value) -> LogLine&
    {
        return withRaw (name, std::to_string (value));
    }

    /** Writes a number with three decimals. */
    auto with (std::string_view name, double value) -> LogLine&;

    auto write (LogLevel level) const -> void;
    auto info() const -> void { write (LogLevel::info); }
    auto warning() const -> void { write (LogLevel::warning); }
    auto error() const -> void { write (LogLevel::error); }

private:
    auto withRaw (std::string_view name, std::string_view value) -> LogLine&;

    std::string text;
};

/** Sends log lines to standard error through log4cplus, one line each with time, level and program.

    @param program  the program's name
    @param level    the least level that is written
*/
auto startLogging (std::string_view program, LogLevel level) -> void;

/** Sends log lines to standard output instead, without ever waiting for it; see BoundedAppender. */
auto startBoundedLogging (std::string_view program, LogLevel level) -> void;

/** Writes gathered lines as far as standard output takes them now. Call some times a second. */
auto flushLog() -> void;

/** @returns whether lines of a level are written; lets callers skip costly lines. */
auto isLogged (LogLevel level) -> bool;

/** @returns the level of a name as on the command line: debug, info, warning, error; info for any other. */
auto logLevelFromName (std::string_view name) -> LogLevel;

} // namespace snowrudder
