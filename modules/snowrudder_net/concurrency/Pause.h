#pragma once

#include "BootTimer.h"

#include "snowrudder_core/time/Time.h"

namespace snowrudder
{

/** Suspends the calling coroutine for a duration. */
inline auto pauseFor (asio::io_context& loop, Duration time) -> Task<void>
{
    BootTimer timer (loop, time);
    co_await timer.async_wait (asTuple);
}

} // namespace snowrudder
