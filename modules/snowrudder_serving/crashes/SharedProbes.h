#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snowrudder
{

/** Probes addresses of upstreams. All requests whose connections to an address end at the same time share one probe.
    Used from one event loop only, without locking.
*/
class SharedProbes
{
public:
    SharedProbes (asio::io_context& eventLoop, ConnectionPool& connectionPool)
        : loop (eventLoop), pool (connectionPool)
    {
    }

    /** @param endpoint  IP-NUMBER:PORT
        @returns         how the address responds to a new connection
    */
    auto probe (const std::string& endpoint) -> Task<EndpointState>;

    /** Probes an address, and also whether its listener keeps the connection open. The probe is not shared. */
    auto probeListener (const std::string& endpoint) -> Task<EndpointState>;

    [[nodiscard]] auto executor() -> asio::io_context::executor_type { return loop.get_executor(); }

private:
    struct Probe
    {
        std::optional<EndpointState> state;
        TimePoint ended {};
    };

    asio::io_context& loop;
    ConnectionPool& pool;
    std::map<std::string, std::shared_ptr<Probe>> probes;
};

} // namespace snowrudder
