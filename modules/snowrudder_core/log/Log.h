#pragma once

#include <concepts>
#include <cstdint>
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

/** A structured log line: the name of an event, then `name=value` pairs. Empty values and values with spaces, quotation
    marks, '=' or control characters are quoted. Prompts, bodies and keys must not be logged.
*/
class LogLine
{
public:
    /** @param event  the name of the event, in snake_case */
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

    /** Adds a number with three decimals. */
    auto with (std::string_view name, double value) -> LogLine&;

    auto write (LogLevel level) const -> void;
    auto info() const -> void { write (LogLevel::info); }
    auto warning() const -> void { write (LogLevel::warning); }
    auto error() const -> void { write (LogLevel::error); }

private:
    auto withRaw (std::string_view name, std::string_view value) -> LogLine&;

    std::string text;
};

/** Writes log lines to standard error through log4cplus, each with time, level and program, without ever blocking; see
    BoundedAppender.

    @param program  the program's name
    @param level    the minimum level that is written
*/
auto startLogging (std::string_view program, LogLevel level) -> void;

/** Writes log lines to standard output instead, some at a time and with a limit per second. */
auto startBoundedLogging (std::string_view program, LogLevel level) -> void;

/** Writes as many buffered lines as standard output accepts now. Call several times per second. */
auto flushLog() -> void;

/** @returns the number of lines that were left out because nobody read the log, or over its limit per second. */
auto droppedLogLines() -> std::uint64_t;

/** Logs that a fault ends the process, before the lines that are still buffered. For the handler of the signal only: what it
    can't write at once is lost.

    @param signal   the number of the signal
    @param address  the address that caused it, or nullptr
*/
auto logFault (int signal, const void* address) -> void;

/** @returns whether lines of a level are written, so that callers can skip lines that are expensive to make. */
auto isLogged (LogLevel level) -> bool;

/** @returns the level for a name on the command line: debug, info, warning or error; info for any other name. */
auto logLevelFromName (std::string_view name) -> LogLevel;

} // namespace snowrudder
