#include "Log.h"

#include "BoundedAppender.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
#include <cstdio>
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

auto needsQuotes (std::string_view value) -> bool
{
    return value.empty() || value.find_first_of (" \"=\n\r\t") != std::string_view::npos;
}

/** Owned by the logger; nullptr while another appender is in use. */
BoundedAppender* boundedAppender = nullptr;

auto useAppender (const log4cplus::SharedAppenderPtr& appender, std::string_view program, LogLevel level)
    -> void
{
    auto& logger = rootLogger();
    const auto pattern = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %p " + std::string (program) + " %m%n";
    appender->setLayout (std::make_unique<log4cplus::PatternLayout> (pattern));

    logger.removeAllAppenders();
    logger.addAppender (appender);
    logger.setLogLevel (toLog4cplus (level));
}

} // namespace

auto LogLine::with (std::string_view name, std::string_view value) -> LogLine&
{
    if (! needsQuotes (value))
        return withRaw (name, value);

    std::string quoted = "\"";

    for (const auto character : value)
    {
        if (character == '"' || character == '\\')
            quoted += '\\';

        quoted += static_cast<unsigned char> (character) < ' ' ? ' ' : character;
    }

    quoted += '"';
    return withRaw (name, quoted);
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
    const auto logToStandardError = true;
    const auto flushAtEachLine = true;
    useAppender (
        log4cplus::SharedAppenderPtr (new log4cplus::ConsoleAppender (logToStandardError, flushAtEachLine)),
        program, level);
}

auto startBoundedLogging (std::string_view program, LogLevel level) -> void
{
    boundedAppender = new BoundedAppender;
    useAppender (log4cplus::SharedAppenderPtr (boundedAppender), program, level);
}

auto flushLog() -> void
{
    if (boundedAppender != nullptr)
        boundedAppender->flush();
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
