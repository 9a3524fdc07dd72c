#pragma once

#include "BootTimer.h"

#include "snowrudder_core/snowrudder_core.h"

#include <atomic>
#include <memory>

namespace snowrudder
{

/** An event that wakes one coroutine. Any thread may notify; only the owner's thread may wait. A notification that
    precedes the wait is kept: the next wait returns immediately.
*/
class Signal : public std::enable_shared_from_this<Signal>
{
public:
    explicit Signal (asio::any_io_executor waiterExecutor)
        : executor (std::move (waiterExecutor)), timer (executor)
    {
    }

    /** Waits for a notification or until a point in time.

        @returns true when notified, false on timeout
    */
    auto wait (TimePoint until) -> Task<bool>
    {
        if (! notified.exchange (false))
        {
            timer.expires_at (until);
            waiting = true;

            // A notification between the two statements above sees no waiting coroutine and doesn't cancel the timer.
            if (! notified.load())
                co_await timer.async_wait (asTuple);

            waiting = false;
            co_return notified.exchange (false);
        }

        co_return true;
    }

    /** Ends the current wait, or the next one if there is none. */
    auto notify() -> void
    {
        if (notified.exchange (true) || ! waiting)
            return;

        asio::dispatch (executor, [self = shared_from_this()] { self->timer.cancel(); });
    }

private:
    asio::any_io_executor executor;
    BootTimer timer;
    std::atomic<bool> notified { false };
    std::atomic<bool> waiting { false };
};

} // namespace snowrudder
