#include "RunServer.h"

#include "../concurrency/ProcessSignals.h"
#include "ProblemResponse.h"

#include <cstdio>

namespace snowrudder
{

auto runServer (EventLoop& loop,
                const std::string& listen,
                const std::string& program,
                const ServerLimits& limits,
                ExchangeHandler handler) -> int
{
    const auto server = std::make_shared<HttpServer> (
        loop, limits, std::move (handler),
        [] (const RejectedInput& input) {
            return Rejection { problemResponse (makeProblem (input.kind), ""), {} };
        });

    if (const auto error = server->listen (parseEndpoint (listen)))
    {
        loop.destroyWaitingCoroutines();
        std::fprintf (stderr, "%s: can't listen on %s: %s\n", program.c_str(), listen.c_str(),
                      error.message().c_str());
        return static_cast<int> (ExitCode::unavailable);
    }

    const ProcessSignals signals (
        loop.get_executor(), [&loop] { loop.stop(); }, [] {});

    LogLine ("started").with ("listen", listen).info();
    loop.run();
    loop.destroyWaitingCoroutines();
    return static_cast<int> (ExitCode::success);
}

} // namespace snowrudder
