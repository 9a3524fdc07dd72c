#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snowrudder
{

/** Probes of upstreams' addresses, one for all requests whose connections to an address end at the same moment. Belongs to one
    event loop; needs no lock.
*/
class SharedProbes
{
public:
    SharedProbes (asio::io_context& eventLoop, ConnectionPool& connectionPool)
        : loop (eventLoop), pool (connectionPool)
    {
    }

    /** @param endpoint  IP-NUMBER:PORT
        @returns         what the address does with a new connection
    */
    auto probe (const std::string& endpoint) -> Task<EndpointState>;

    /** Asks an address also whether what listens there keeps connections open. */
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
