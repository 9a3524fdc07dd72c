#include "LoadRun.h"

#include "Caller.h"

#include "snowrudder_platform/snowrudder_platform.h"

#include <boost/json.hpp>

#include <thread>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

auto sendRequests (CallerThread& thread, LoadResult& result) -> Task<void>
{
    BootTimer timer (thread.loop);
    const auto end = BootClock::now() + thread.plan.length;
    auto next = BootClock::now();

    // Open loop: the time of a request does not depend on earlier answers.
    for (;;)
    {
        next += thread.source.nextInterval();

        if (next >= end)
            break;

        timer.expires_at (next);
        co_await timer.async_wait (asTuple);

        const auto isDirect = thread.plan.compareDirect && thread.startedRequests % 2 == 1;
        ++thread.startedRequests;
        asio::co_spawn (thread.loop, makeOneRequest (thread, result, thread.source.next(), isDirect),
                        asio::detached);
    }

    const auto drainEnd = end + thread.plan.drainTimeout;

    while (thread.openRequests > 0 && BootClock::now() < drainEnd)
    {
        timer.expires_after (20ms);
        co_await timer.async_wait (asTuple);
    }

    thread.loop.stop();
}

/** Makes one call on an event loop of its own and blocks until it has completed. */
auto callBlocking (const tcp::endpoint& endpoint, std::string_view target) -> SimpleResponse
{
    asio::io_context loop (1);
    ConnectionPool pool (loop.get_executor());
    SimpleResponse answer;
    CallTimeouts timeouts { 1s, 5s, 5s };
    constexpr auto maxStatsBytes = std::size_t { 256 * 1024 * 1024 };

    asio::co_spawn (
        loop,
        [&]() -> Task<void>
        {
            answer = co_await callOnce (pool, endpoint, makeRequest (http::verb::get, target), timeouts,
                                        maxStatsBytes);
        },
        asio::detached);
    loop.run();
    return answer;
}

auto listVms (const LoadPlan& plan) -> std::vector<Vm>
{
    const auto answer = callBlocking (plan.platform, "/vms");
    auto skipped = std::size_t { 0 };
    return answer.hasSucceeded() ? parseVmList (answer.body, skipped).value_or (std::vector<Vm> {})
                                 : std::vector<Vm> {};
}

auto addStats (const std::string& text, UpstreamCounts& counts) -> void
{
    const auto parsed = parseObject (text);

    if (! parsed)
        return;

    const auto& object = *parsed;
    counts.computedPromptTokens += wholeNumberIn (object, "computed_prompt_tokens");
    counts.cachedPromptTokens += wholeNumberIn (object, "cached_prompt_tokens");
    counts.generatedTokens += wholeNumberIn (object, "generated_tokens");

    if (const auto* runs = object.if_contains ("runs"); runs != nullptr && runs->is_object())
        for (const auto& [key, count] : runs->get_object())
            counts.runsByKey[std::string (key)] += count.to_number<std::uint64_t>();
}

/** Collects the upstreams for requests that bypass the routers. */
auto findUpstreams (CallerThread& thread) -> void
{
    for (const auto& vm : listVms (thread.plan))
        for (const auto& replica : vm.replicas)
        {
            auto& list = vm.machineClass == "engine" ? thread.engines : thread.services;
            list.push_back (parseEndpoint (replica.endpoint));
        }
}

} // namespace

auto runLoad (const schema::LoadSettings& workload, const LoadPlan& plan, LoadResult& result) -> void
{
    const auto startTime = BootClock::now();
    std::deque<CallerThread> callers;
    std::vector<std::thread> threads;
    threads.reserve (plan.threads);

    for (auto index = std::uint32_t { 0 }; index < plan.threads; ++index)
    {
        auto& caller = callers.emplace_back (workload, plan, index);

        if (plan.compareDirect)
            findUpstreams (caller);

        asio::co_spawn (caller.loop, sendRequests (caller, result), asio::detached);
    }

    for (auto& caller : callers)
        threads.emplace_back ([&caller] { caller.loop.run(); });

    for (auto& thread : threads)
        thread.join();

    // Coroutines of requests that are still open refer to members of their CallerThread, so they must end before it is
    // destroyed.
    for (auto& caller : callers)
        caller.loop.destroyWaitingCoroutines();

    for (const auto& caller : callers)
        if (caller.openRequests > 0)
            LogLine ("not_waited_for").with ("requests", caller.openRequests).warning();

    result.elapsed = std::min (BootClock::now() - startTime, plan.length);
}

auto addUpstreamCounts (const LoadPlan& plan, UpstreamCounts& into) -> bool
{
    const auto vms = listVms (plan);

    for (const auto& vm : vms)
    {
        into.price += vm.price;

        for (const auto& replica : vm.replicas)
            into.endpoints.insert (replica.endpoint);
    }

    for (const auto& endpoint : into.endpoints)
        if (const auto answer = callBlocking (parseEndpoint (endpoint), "/stats"); answer.hasSucceeded())
            addStats (answer.body, into);

    return ! vms.empty();
}

auto countsBetween (const UpstreamCounts& before, UpstreamCounts after) -> UpstreamCounts
{
    const auto subtract = [] (std::uint64_t& later, std::uint64_t earlier)
    { later -= std::min (later, earlier); };
    subtract (after.computedPromptTokens, before.computedPromptTokens);
    subtract (after.cachedPromptTokens, before.cachedPromptTokens);
    subtract (after.generatedTokens, before.generatedTokens);
    return after;
}

} // namespace snowrudder
