#include "BoundedAppender.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>

namespace snowrudder
{

auto BoundedAppender::append (const log4cplus::spi::InternalLoggingEvent& event) -> void
{
    std::ostringstream line;
    layout->formatAndAppend (line, event);
    const auto text = line.str();
    const auto isOrdinary = event.getLogLevel() < log4cplus::WARN_LOG_LEVEL;

    if (! mayAppend (text.size(), isOrdinary))
    {
        ++dropped;
        ++droppedTotal;
        return;
    }

    buffer += text;

    if (buffer.size() >= options.flushBytes || ! isOrdinary)
        flush();
}

auto BoundedAppender::mayAppend (std::size_t size, bool isOrdinary) -> bool
{
    if (buffer.size() + size > maxBufferBytes)
        return false;

    const auto now = BootClock::now();

    if (now - windowStart >= 1s)
    {
        windowStart = now;
        bytesInWindow = 0;
    }

    if (isOrdinary && bytesInWindow + size > options.maxOrdinaryBytesPerSecond)
        return false;

    bytesInWindow += isOrdinary ? size : 0;
    return true;
}

auto BoundedAppender::flush() -> void
{
    // A pipe that polls as writable accepts this many bytes without blocking (POSIX, PIPE_BUF).
    constexpr auto maxWriteBytes = std::size_t { 4096 };

    if (dropped > 0 && buffer.size() < maxBufferBytes / 2)
    {
        buffer += "log_lines_dropped count=" + std::to_string (dropped) + "\n";
        dropped = 0;
    }

    while (! buffer.empty())
    {
        pollfd state { options.descriptor, POLLOUT, 0 };

        if (::poll (&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
            return;

        const auto written =
            ::write (options.descriptor, buffer.data(), std::min (buffer.size(), maxWriteBytes));

        if (written <= 0)
            return;

        buffer.erase (0, static_cast<std::size_t> (written));
    }
}

} // namespace snowrudder
