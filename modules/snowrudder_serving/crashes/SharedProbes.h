#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <functional>
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

    /** Gives the final result of a probe, after asking other nodes about an address that refuses or closes connections
        of this one. Set once, before the first probe; unset, the probe's own result counts.
    */
    std::function<auto(std::string endpoint, EndpointState)->Task<EndpointState>> confirm;

    [[nodiscard]] auto executor() -> asio::io_context::executor_type { return loop.get_executor(); }

private:
    auto confirmed (std::string endpoint, EndpointState state) -> Task<EndpointState>;

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
