#include "FakeService.h"

#include <algorithm>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto maxAnswerBytes = std::size_t { 64 * 1024 * 1024 };

/** Calls a function when it goes out of scope. */
template <typename Function>
class ScopeExit
{
public:
    explicit ScopeExit (Function endFunction) : function (std::move (endFunction)) {}
    ~ScopeExit() { function(); }

    ScopeExit (const ScopeExit&) = delete;
    auto operator= (const ScopeExit&) -> ScopeExit& = delete;

private:
    Function function;
};

auto parseNumberAfter (std::string_view path, std::string_view prefix) -> std::size_t
{
    return std::strtoull (std::string (path.substr (prefix.size())).c_str(), nullptr, 10);
}

} // namespace

auto FakeService::handle (Exchange& exchange) -> Task<void>
{
    if (exchange.path() == "/stats")
        return respondStats (exchange);

    if (exchange.path() == "/load")
        return respondJson (exchange, http::status::ok, makeObject ("running", running, "waiting", 0));

    if (exchange.path() == "/faults")
        return switchFaults (exchange);

    return run (exchange);
}

auto FakeService::run (Exchange& exchange) -> Task<void>
{
    if (faults.refuse)
    {
        co_await respondJson (exchange, http::status::service_unavailable, makeObject ("error", "refused"));
        co_return;
    }

    const auto key = std::string (exchange.header ("Call-Key"));
    const auto path = exchange.path();
    const auto count = ++runs[key];
    ++total;
    ++running;
    const auto decrementOnExit = ScopeExit ([this] { --running; });

    if (settings.work_milliseconds() > 0)
    {
        BootTimer timer (loop, std::chrono::milliseconds (settings.work_milliseconds()));
        co_await timer.async_wait (asTuple);
    }

    if (faults.loseAnswers)
        co_return;

    while (faults.stall)
    {
        BootTimer timer (loop, 50ms);
        co_await timer.async_wait (asTuple);
    }

    if (path.starts_with ("/status/"))
    {
        const auto status = static_cast<http::status> (parseNumberAfter (path, "/status/"));
        co_await exchange.respond (status, "text/plain", "status\n");
        co_return;
    }

    if (path.starts_with ("/bytes/"))
    {
        const auto size = std::min (parseNumberAfter (path, "/bytes/"), maxAnswerBytes);
        co_await exchange.respond (http::status::ok, "application/octet-stream", std::string (size, 'b'));
        co_return;
    }

    if (path == "/echo")
    {
        co_await exchange.respond (http::status::ok, "application/octet-stream", exchange.request().body());
        co_return;
    }

    HttpResponse response (http::status::ok, 11);
    response.set (http::field::content_type, "application/json");
    response.set ("Ran-On", settings.name());
    response.body() = json::serialize (
        makeObject ("key", key, "run", count, "method", exchange.request().method_string(), "target",
                    exchange.request().target(), "echo", exchange.request().body()));
    co_await exchange.respond (std::move (response));
}

auto FakeService::respondStats (Exchange& exchange) -> Task<void>
{
    json::object counts;

    for (const auto& [key, count] : runs)
        if (! key.empty())
            counts[key] = count;

    co_await respondJson (exchange, http::status::ok,
                          makeObject ("name", settings.name(), "total", total, "runs", std::move (counts)));
}

auto FakeService::switchFaults (Exchange& exchange) -> Task<void>
{
    const auto body = jsonBody (exchange);
    faults.refuse = flagIn (body, "refuse", faults.refuse);
    faults.loseAnswers = flagIn (body, "lose_answers", faults.loseAnswers);
    faults.stall = flagIn (body, "stall", faults.stall);
    co_await respondJson (
        exchange, http::status::ok,
        makeObject ("refuse", faults.refuse, "lose_answers", faults.loseAnswers, "stall", faults.stall));
}

} // namespace snowrudder
