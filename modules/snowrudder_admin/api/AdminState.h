#pragma once

#include "snowrudder_net/snowrudder_net.h"
#include "snowrudder_platform/snowrudder_platform.h"

#include "process_settings.pb.h"

namespace snowrudder
{

/** State of the administration API, used from its single event loop. */
struct AdminState
{
    AdminState (asio::io_context& eventLoop, const schema::AdminSettings& adminSettings)
        : loop (eventLoop), settings (adminSettings), pool (eventLoop.get_executor()),
          platform (pool, parseEndpoint (adminSettings.platform()), metrics)
    {
    }

    asio::io_context& loop;
    const schema::AdminSettings settings;
    Metrics metrics;
    ConnectionPool pool;
    PlatformClient platform;
};

} // namespace snowrudder
