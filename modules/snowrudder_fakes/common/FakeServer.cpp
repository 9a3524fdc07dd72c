#include "FakeServer.h"

namespace snowrudder
{

namespace json = boost::json;

auto runFakeServer (EventLoop& loop,
                    const std::string& listen,
                    const std::string& program,
                    ExchangeHandler handler) -> int
{
    ServerLimits limits;
    limits.headerTimeout = limits.idleTimeout = 3600s;
    limits.bodyBytes = 64 * 1024 * 1024;
    return runServer (loop, listen, program, limits, std::move (handler));
}

auto jsonBody (const Exchange& exchange) -> json::object
{
    return parseObject (exchange.request().body()).value_or (json::object());
}

auto respondJson (Exchange& exchange, http::status status, json::value value) -> Task<void>
{
    co_await exchange.respond (status, "application/json", json::serialize (value));
}

} // namespace snowrudder
