#include "ProbeEndpoint.h"

#include "UpstreamCall.h"

namespace snowrudder
{

auto toString (EndpointState state) -> std::string_view
{
    switch (state)
    {
        case EndpointState::accepts:
            return "accepts";
        case EndpointState::refuses:
            return "refuses";
        case EndpointState::silent:
            break;
    }

    return "silent";
}

auto probeEndpoint (ConnectionPool& pool, tcp::endpoint endpoint, Duration wait) -> Task<EndpointState>
{
    CallTimeouts timeouts;
    timeouts.connect = wait;
    UpstreamCall call (pool, endpoint, timeouts);
    const auto mayReuse = false;
    const auto error = co_await call.connect (mayReuse);

    if (! error)
        co_return EndpointState::accepts;

    co_return error == std::errc::connection_refused ? EndpointState::refuses : EndpointState::silent;
}

} // namespace snowrudder
