#include "LoadWatcher.h"

#include <boost/json.hpp>

#include <vector>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto interval = 250ms;
constexpr auto answerTime = 500ms;
constexpr auto largestReport = std::size_t { 64 * 1024 };

struct Watched
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

auto askReplica (RouterState& state, Worker& worker, Watched watched) -> Task<void>
{
    const CallTimeouts timeouts { answerTime, answerTime, answerTime };
    const auto answer = co_await callOnce (worker.pool, parseEndpoint (watched.endpoint),
                                           makeRequest (http::verb::get, "/load"), timeouts, largestReport);
    const auto now = SteadyClock::now();

    if (answer.error == std::errc::connection_refused)
    {
        state.replicas.noteUnreachable (watched.number, now);
        co_return;
    }

    if (const auto report = answer.hasSucceeded() ? readReport (answer.body) : std::nullopt)
        state.replicas.noteLoad (watched.number, *report, now);
}

} // namespace

auto watchLoads (RouterState& state, Worker& worker) -> Task<void>
{
    asio::steady_timer timer (worker.loop);

    for (;;)
    {
        std::vector<Watched> watched;
        state.replicas.forEach (
            [&] (const ReplicaState& replica) {
                watched.push_back ({ replica.number, replica.info.endpoint });
            });

        for (auto& entry : watched)
            asio::co_spawn (worker.loop, askReplica (state, worker, std::move (entry)), asio::detached);

        timer.expires_after (interval);
        co_await timer.async_wait (asTuple);
    }
}

} // namespace snowrudder
