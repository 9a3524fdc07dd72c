#pragma once

#include "AsioNames.h"
#include "EventLoop.h"

#include <atomic>
#include <deque>
#include <memory>
#include <thread>
#include <vector>

namespace snowrudder
{

/** Threads with one event loop each. State that is used on one loop only needs no lock; state that several loops share
    is in tables with their own locks (see docs/ARCHITECTURE.md for the lock order).
*/
class WorkerPool
{
public:
    explicit WorkerPool (std::size_t workerCount);
    ~WorkerPool();

    WorkerPool (const WorkerPool&) = delete;
    auto operator= (const WorkerPool&) -> WorkerPool& = delete;

    [[nodiscard]] auto size() const -> std::size_t { return loops.size(); }
    [[nodiscard]] auto loop (std::size_t index) -> asio::io_context& { return loops[index]; }

    /** Starts one thread per event loop. */
    auto start() -> void;

    /** Blocks until the loops have been stopped by stop(), and joins the threads. */
    auto join() -> void;

    /** Stops all loops. Any thread may call this. */
    auto stop() -> void;

    /** Destroys the coroutines that still wait in the loops, while all loops and the objects that they refer to still
        exist. Call after the threads have been joined and before anything that the coroutines use is destroyed.
    */
    auto destroyWaitingCoroutines() -> void;

private:
    using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

    std::deque<EventLoop> loops;
    std::vector<WorkGuard> guards;
    std::vector<std::thread> threads;
};

} // namespace snowrudder
