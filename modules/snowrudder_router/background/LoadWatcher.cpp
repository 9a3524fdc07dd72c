#include "LoadWatcher.h"

#include <boost/json.hpp>

#include <vector>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto pollInterval = 250ms;
constexpr auto pollTimeout = 500ms;
constexpr auto maxReportBytes = std::size_t { 64 * 1024 };

struct WatchedReplica
{
    ReplicaNumber number = 0;
    std::string endpoint;
};

auto readReport (const std::string& text) -> std::optional<LoadReport>
{
    const auto object = parseObject (text);

    if (! object)
        return {};

    LoadReport report;
    report.running = static_cast<std::uint32_t> (std::max (0.0, numberIn (*object, "running", 0.0)));
    report.waiting = static_cast<std::uint32_t> (std::max (0.0, numberIn (*object, "waiting", 0.0)));
    report.pendingPromptTokens = std::max (0.0, numberIn (*object, "pending_prompt_tokens", 0.0));
    report.leaving = flagIn (*object, "leaving", false);
    return report;
}

auto pollReplica (RouterState& state, Worker& worker, WatchedReplica watched) -> Task<void>
{
    const CallTimeouts timeouts { pollTimeout, pollTimeout, pollTimeout };
    const auto answer = co_await callOnce (worker.pool, parseEndpoint (watched.endpoint),
                                           makeRequest (http::verb::get, "/load"), timeouts, maxReportBytes);
    const auto now = BootClock::now();

    if (answer.error == std::errc::connection_refused)
    {
        state.replicas.markUnreachable (watched.number, now);
        co_return;
    }

    if (const auto report = answer.hasSucceeded() ? readReport (answer.body) : std::nullopt)
        state.replicas.recordLoad (watched.number, *report, now);
}

} // namespace

auto watchLoads (RouterState& state, Worker& worker) -> Task<void>
{
    BootTimer timer (worker.loop);

    for (;;)
    {
        std::vector<WatchedReplica> watched;
        state.replicas.forEach (
            [&] (const ReplicaState& replica) {
                watched.push_back ({ replica.number, replica.info.endpoint });
            });

        for (auto& entry : watched)
            asio::co_spawn (worker.loop, pollReplica (state, worker, std::move (entry)), asio::detached);

        timer.expires_after (pollInterval);
        co_await timer.async_wait (asTuple);
    }
}

} // namespace snowrudder
