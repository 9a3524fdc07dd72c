#pragma once

#include "RouterState.h"

namespace snowrudder
{

/** Waits on a worker's loop. */
inline auto pauseFor (Worker& worker, Duration time) -> Task<void>
{
    asio::steady_timer timer (worker.loop, time);
    co_await timer.async_wait (asTuple);
}

} // namespace snowrudder
