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

/** Threads with one event loop each. What runs on one loop needs no lock against itself; what several loops share
    lives in tables with locks of their own (docs/ARCHITECTURE.md gives the lock order).
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

    /** Starts the threads. */
    auto start() -> void;

    /** Runs until stop() is called, then joins the threads. */
    auto join() -> void;

    /** Ends every loop. Any thread may call it. */
    auto stop() -> void;

    /** Ends what still waits in the loops, while all loops and all that it refers to are there. To be called once the threads
        have been joined and before anything that coroutines use is destroyed.
    */
    auto destroyWaitingCoroutines() -> void;

private:
    using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

    std::deque<EventLoop> loops;
    std::vector<WorkGuard> guards;
    std::vector<std::thread> threads;
};

} // namespace snowrudder
