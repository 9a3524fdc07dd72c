#pragma once

#include "../concurrency/EventLoop.h"
#include "HttpServer.h"

#include <string>

namespace snowrudder
{

/** Runs a server on one event loop until SIGTERM or SIGINT, then destroys the coroutines that still wait in the loop.

    @param loop     the event loop, which may also run other work of the handler
    @param listen   the address to listen on, as IP-NUMBER:PORT
    @param program  the program's name, for error messages
    @param limits   limits for the server's connections
    @param handler  responds to each request
    @returns        the exit code for the process
*/
auto runServer (EventLoop& loop,
                const std::string& listen,
                const std::string& program,
                const ServerLimits& limits,
                ExchangeHandler handler) -> int;

} // namespace snowrudder
