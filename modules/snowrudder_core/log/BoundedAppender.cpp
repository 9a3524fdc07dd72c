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

auto writeAtOnce (int descriptor, std::string_view text) -> std::size_t
{
    // A pipe that polls as writable accepts this many bytes without blocking (POSIX, PIPE_BUF).
    constexpr auto maxWriteBytes = std::size_t { 4096 };
    auto total = std::size_t { 0 };

    while (total < text.size())
    {
        pollfd state { descriptor, POLLOUT, 0 };

        if (::poll (&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
            break;

        const auto written =
            ::write (descriptor, text.data() + total, std::min (text.size() - total, maxWriteBytes));

        if (written <= 0)
            break;

        total += static_cast<std::size_t> (written);
    }

    return total;
}

auto BoundedAppender::flush() -> void
{
    if (dropped > 0 && buffer.size() < maxBufferBytes / 2)
    {
        buffer += "log_lines_dropped count=" + std::to_string (dropped) + "\n";
        dropped = 0;
    }

    buffer.erase (0, writeAtOnce (options.descriptor, buffer));
}

auto BoundedAppender::writeForFault() const -> void
{
    writeAtOnce (options.descriptor, buffer);
}

} // namespace snowrudder
