#include "WorkerPool.h"

namespace snowrudder
{

WorkerPool::WorkerPool (std::size_t workerCount)
{
    constexpr auto threadsPerLoop = 1;

    for (auto index = std::size_t { 0 }; index < workerCount; ++index)
    {
        auto& loop = loops.emplace_back (threadsPerLoop);
        guards.push_back (asio::make_work_guard (loop));
    }
}

WorkerPool::~WorkerPool()
{
    stop();
    join();
}

auto WorkerPool::start() -> void
{
    for (auto& loop : loops)
        threads.emplace_back ([&loop] { loop.run(); });
}

auto WorkerPool::join() -> void
{
    for (auto& thread : threads)
        if (thread.joinable())
            thread.join();

    threads.clear();
}

auto WorkerPool::stop() -> void
{
    for (auto& loop : loops)
        loop.stop();
}

auto WorkerPool::destroyWaitingCoroutines() -> void
{
    // Destroying a coroutine in one loop may post work to another loop that has been cleared already; the second round
    // clears that.
    constexpr auto rounds = 2;

    for (auto round = 0; round < rounds; ++round)
        for (auto& loop : loops)
            loop.destroyWaitingCoroutines();
}

} // namespace snowrudder
