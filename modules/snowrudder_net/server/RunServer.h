#pragma once

#include "../concurrency/EventLoop.h"
#include "HttpServer.h"

#include <string>

namespace snowrudder
{

/** Runs a server on one event loop until SIGTERM or SIGINT, and ends what then still waits in it.

    @param loop     the loop that the handler's own work runs on
    @param listen   IP-NUMBER:PORT
    @param program  named in messages
    @param limits   of its connections
    @param handler  answers each request
    @returns        the process's exit code
*/
auto runServer (EventLoop& loop,
                const std::string& listen,
                const std::string& program,
                const ServerLimits& limits,
                ExchangeHandler handler) -> int;

} // namespace snowrudder
