#pragma once

#include "../time/Time.h"

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace snowrudder
{

/** Writes log lines to standard output and never waits for it: lines gather in a buffer that is written when the pipe
    takes it. What the buffer or the second's share of bytes can't hold is left out and counted; the count follows as a
    line of its own. Warnings and errors don't count against the share.
*/
class BoundedAppender : public log4cplus::Appender
{
public:
    BoundedAppender() = default;
    ~BoundedAppender() override { destructorImpl(); }

    /** Writes what the pipe takes now. */
    auto flush() -> void;

    auto close() -> void override { closed = true; }

protected:
    auto append (const log4cplus::spi::InternalLoggingEvent& event) -> void override;

private:
    auto mayAppend (std::size_t size, bool isOrdinary) -> bool;

    /** Holds some seconds of an ordinary load's lines. */
    static constexpr auto maxBufferBytes = std::size_t { 64 * 1024 };
    /** Written at once from this size on: one system call for some ten lines. */
    static constexpr auto flushBytes = std::size_t { 3 * 1024 };
    /** Bytes of ordinary lines a second: a node at its full load of some 50 requests a second writes half of it. */
    static constexpr auto maxOrdinaryBytesPerSecond = std::size_t { 96 * 1024 };

    std::string buffer;
    std::uint64_t dropped = 0;
    TimePoint windowStart {};
    std::size_t bytesInWindow = 0;
};

} // namespace snowrudder
