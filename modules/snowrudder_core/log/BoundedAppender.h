#pragma once

#include "../time/Time.h"

#include <log4cplus/appender.h>

#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Writes to a file descriptor what it accepts without blocking.

    @returns the number of bytes written
*/
auto writeAtOnce (int descriptor, std::string_view text) -> std::size_t;

/** Writes log lines to a file descriptor without ever blocking: lines are collected in a buffer, which is written when
    the pipe accepts it. Lines that exceed the buffer or the limit of bytes per second are dropped and counted; a later
    line reports the count. Warnings and errors are exempt from the limit per second.
*/
class BoundedAppender : public log4cplus::Appender
{
public:
    struct Options
    {
        int descriptor = STDOUT_FILENO;
        /** The buffer is written when it reaches this size: one system call for about ten lines. */
        std::size_t flushBytes = std::size_t { 3 * 1024 };
        /** Limit for lines below the warning level. A node at its full load, about 50 requests per second, writes half of
            it.
        */
        std::size_t maxOrdinaryBytesPerSecond = std::size_t { 96 * 1024 };
    };

    explicit BoundedAppender (const Options& appenderOptions) : options (appenderOptions) {}
    ~BoundedAppender() override { destructorImpl(); }

    /** Writes as many buffered bytes as the pipe accepts now. */
    auto flush() -> void;

    /** Writes what is buffered, as far as the pipe accepts it now, and changes nothing. For the handler of a fault. */
    auto writeForFault() const -> void;

    /** @returns the number of lines that were left out so far. */
    [[nodiscard]] auto droppedLines() const -> std::uint64_t { return droppedTotal.load(); }

    auto close() -> void override { closed = true; }

protected:
    auto append (const log4cplus::spi::InternalLoggingEvent& event) -> void override;

private:
    auto mayAppend (std::size_t size, bool isOrdinary) -> bool;

    /** Holds the log lines of some seconds at an ordinary load. */
    static constexpr auto maxBufferBytes = std::size_t { 64 * 1024 };

    Options options;
    std::string buffer;
    /** Lines that were left out since the last line that told so. */
    std::uint64_t dropped = 0;
    std::atomic<std::uint64_t> droppedTotal { 0 };
    TimePoint windowStart {};
    std::size_t bytesInWindow = 0;
};

} // namespace snowrudder
