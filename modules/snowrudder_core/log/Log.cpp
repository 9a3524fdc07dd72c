#include "Log.h"

#include "BoundedAppender.h"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <limits>
#include <memory>

namespace snowrudder
{

namespace
{

// log4cplus must outlive all loggers, so the initializer lives until the process exits.
auto initializer() -> log4cplus::Initializer&
{
    static log4cplus::Initializer instance;
    return instance;
}

auto rootLogger() -> log4cplus::Logger&
{
    initializer();
    static auto logger = log4cplus::Logger::getInstance (LOG4CPLUS_TEXT ("snowrudder"));
    return logger;
}

auto toLog4cplus (LogLevel level) -> log4cplus::LogLevel
{
    switch (level)
    {
        case LogLevel::debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case LogLevel::info:
            return log4cplus::INFO_LOG_LEVEL;
        case LogLevel::warning:
            return log4cplus::WARN_LOG_LEVEL;
        case LogLevel::error:
            break;
    }

    return log4cplus::ERROR_LOG_LEVEL;
}

auto isControl (char character) -> bool
{
    constexpr auto deleteCharacter = '\x7F';
    return static_cast<unsigned char> (character) < ' ' || character == deleteCharacter;
}

auto needsQuotes (std::string_view value) -> bool
{
    return value.empty() || value.find_first_of (" \"=") != std::string_view::npos ||
           std::ranges::any_of (value, isControl);
}

/** @returns a value as a log line holds it, which is one word or quoted. */
auto quotedIfNeeded (std::string_view value) -> std::string
{
    if (! needsQuotes (value))
        return std::string (value);

    std::string quoted = "\"";

    for (const auto character : value)
    {
        if (character == '"' || character == '\\')
            quoted += '\\';

        quoted += isControl (character) ? ' ' : character;
    }

    quoted += '"';
    return quoted;
}

/** @returns a text that a layout's pattern writes as it is. */
auto patternText (std::string_view text) -> std::string
{
    std::string escaped;

    for (const auto character : text)
        escaped.append (character == '%' ? 2 : 1, character);

    return escaped;
}

/** Owned by the logger; nullptr before logging is started. */
BoundedAppender* currentAppender = nullptr;
/** Where a fault of the process is logged. */
int faultDescriptor = STDERR_FILENO;

auto startAppender (const BoundedAppender::Options& options, std::string_view program, LogLevel level) -> void
{
    auto& logger = rootLogger();
    const auto pattern = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %p " + patternText (quotedIfNeeded (program)) + " %m%n";
    currentAppender = new BoundedAppender (options);
    faultDescriptor = options.descriptor;
    const log4cplus::SharedAppenderPtr appender (currentAppender);
    appender->setLayout (std::make_unique<log4cplus::PatternLayout> (pattern));

    logger.removeAllAppenders();
    logger.addAppender (appender);
    logger.setLogLevel (toLog4cplus (level));
}

/** Appends a number to a text of fixed size. Safe in the handler of a signal. */
auto appendNumber (std::array<char, 160>& text, std::size_t length, std::uint64_t number, unsigned base)
    -> std::size_t
{
    constexpr auto digits = std::string_view ("0123456789abcdef");
    std::array<char, 24> reversed;
    auto count = std::size_t { 0 };

    do
    {
        reversed[count++] = digits[number % base];
        number /= base;
    } while (number > 0);

    while (count > 0 && length < text.size())
        text[length++] = reversed[--count];

    return length;
}

auto appendText (std::array<char, 160>& text, std::size_t length, std::string_view added) -> std::size_t
{
    const auto count = std::min (added.size(), text.size() - length);
    std::memcpy (text.data() + length, added.data(), count);
    return length + count;
}

} // namespace

auto LogLine::with (std::string_view name, std::string_view value) -> LogLine&
{
    return withRaw (name, quotedIfNeeded (value));
}

auto LogLine::with (std::string_view name, double value) -> LogLine&
{
    std::array<char, 64> buffer;
    const auto length = std::snprintf (buffer.data(), buffer.size(), "%.3f", value);
    return withRaw (name, std::string_view (buffer.data(), static_cast<std::size_t> (length)));
}

auto LogLine::withRaw (std::string_view name, std::string_view value) -> LogLine&
{
    text += ' ';
    text += name;
    text += '=';
    text += value;
    return *this;
}

auto LogLine::write (LogLevel level) const -> void
{
    auto& logger = rootLogger();
    const auto native = toLog4cplus (level);

    if (logger.isEnabledFor (native))
        logger.forcedLog (native, text);
}

auto startLogging (std::string_view program, LogLevel level) -> void
{
    BoundedAppender::Options options;
    options.descriptor = STDERR_FILENO;
    options.flushBytes = 0;
    options.maxOrdinaryBytesPerSecond = std::numeric_limits<std::size_t>::max();
    startAppender (options, program, level);
}

auto startBoundedLogging (std::string_view program, LogLevel level) -> void
{
    startAppender ({}, program, level);
}

auto flushLog() -> void
{
    if (currentAppender != nullptr)
        currentAppender->flush();
}

auto droppedLogLines() -> std::uint64_t
{
    return currentAppender == nullptr ? 0 : currentAppender->droppedLines();
}

auto logFault (int signal, const void* address) -> void
{
    constexpr auto decimal = 10U;
    constexpr auto hexadecimal = 16U;
    std::array<char, 160> text;
    auto length = appendText (text, 0, "process_fault signal=");
    length = appendNumber (text, length, static_cast<std::uint64_t> (signal), decimal);
    length = appendText (text, length, " address=0x");
    length = appendNumber (text, length, reinterpret_cast<std::uintptr_t> (address), hexadecimal);
    length = appendText (text, length, "\n");
    writeAtOnce (faultDescriptor, { text.data(), length });

    if (currentAppender != nullptr)
        currentAppender->writeForFault();
}

auto isLogged (LogLevel level) -> bool
{
    return rootLogger().isEnabledFor (toLog4cplus (level));
}

auto logLevelFromName (std::string_view name) -> LogLevel
{
    if (name == "debug")
        return LogLevel::debug;

    if (name == "warning")
        return LogLevel::warning;

    if (name == "error")
        return LogLevel::error;

    return LogLevel::info;
}

} // namespace snowrudder
