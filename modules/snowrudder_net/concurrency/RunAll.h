#pragma once

#include "BootTimer.h"

#include <cstddef>
#include <memory>

namespace snowrudder
{

/** Runs tasks concurrently on one event loop and waits until all have ended. Must be called on that loop.

    @param count     the number of tasks
    @param makeTask  called with each index, returns the task to run
*/
template <typename MakeTask>
auto runAll (asio::io_context& loop, std::size_t count, MakeTask makeTask) -> Task<void>
{
    struct PendingTasks
    {
        explicit PendingTasks (asio::io_context& eventLoop) : timer (eventLoop, TimePoint::max()) {}

        std::size_t remaining = 0;
        BootTimer timer;
    };

    const auto pending = std::make_shared<PendingTasks> (loop);
    pending->remaining = count;

    for (auto index = std::size_t { 0 }; index < count; ++index)
        asio::co_spawn (loop, makeTask (index),
                        [pending] (auto)
                        {
                            if (--pending->remaining == 0)
                                pending->timer.cancel();
                        });

    // Tasks end on this loop only, so none can end between this check and the wait.
    if (pending->remaining > 0)
        co_await pending->timer.async_wait (asTuple);
}

} // namespace snowrudder
