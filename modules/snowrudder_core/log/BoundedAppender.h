#pragma once

#include "../time/Time.h"

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace snowrudder
{

/** Writes log lines to standard output without ever blocking: lines are collected in a buffer, which is written when
    the pipe accepts it. Lines that exceed the buffer or the limit of bytes per second are dropped and counted; a later
    line reports the count. Warnings and errors are exempt from the limit per second.
*/
class BoundedAppender : public log4cplus::Appender
{
public:
    BoundedAppender() = default;
    ~BoundedAppender() override { destructorImpl(); }

    /** Writes as many buffered bytes as the pipe accepts now. */
    auto flush() -> void;

    auto close() -> void override { closed = true; }

protected:
    auto append (const log4cplus::spi::InternalLoggingEvent& event) -> void override;

private:
    auto mayAppend (std::size_t size, bool isOrdinary) -> bool;

    /** Holds the log lines of some seconds at an ordinary load. */
    static constexpr auto maxBufferBytes = std::size_t { 64 * 1024 };
    /** The buffer is written when it reaches this size: one system call for about ten lines. */
    static constexpr auto flushBytes = std::size_t { 3 * 1024 };
    /** Limit for lines below the warning level. A node at its full load, about 50 requests per second, writes half of
        it.
    */
    static constexpr auto maxOrdinaryBytesPerSecond = std::size_t { 96 * 1024 };

    std::string buffer;
    std::uint64_t dropped = 0;
    TimePoint windowStart {};
    std::size_t bytesInWindow = 0;
};

} // namespace snowrudder
