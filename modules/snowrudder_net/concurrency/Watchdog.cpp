#include "Watchdog.h"

namespace snowrudder
{

auto Watchdog::Entries::startTimer() -> void
{
    if (isRunning)
        return;

    isRunning = true;
    timer.expires_after (interval);
    timer.async_wait (
        [self = shared_from_this()] (boost::system::error_code error)
        {
            self->isRunning = false;

            if (! error)
                self->cancelExpired();
        });
}

auto Watchdog::Entries::cancelExpired() -> void
{
    const auto now = BootClock::now();
    auto hasDeadline = false;

    for (auto& entry : list)
    {
        if (! entry.deadline)
            continue;

        if (now < *entry.deadline)
        {
            hasDeadline = true;
            continue;
        }

        entry.deadline.reset();
        entry.expired = true;
        boost::system::error_code ignored;
        entry.socket->cancel (ignored);
    }

    // Without deadlines the timer isn't restarted, so that an event loop without other work can return.
    if (hasDeadline)
        startTimer();
}

} // namespace snowrudder
