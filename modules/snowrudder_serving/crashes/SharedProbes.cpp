#include "SharedProbes.h"

namespace snowrudder
{

namespace
{

/** A connection inside the platform comes up within a few milliseconds; nodes on a part of a core run every 100 ms. */
constexpr auto probeWait = 400ms;

/** How long an accepted connection is looked at. What is left of a replica that ended closes it within a few milliseconds. */
constexpr auto listenerLook = 200ms;

/** How often requests that share a probe look whether it has ended. */
constexpr auto probeLook = 2ms;

/** An address that refused is taken to go on refusing for so long: a replica takes longer to start again. */
constexpr auto refusalHolds = 200ms;

} // namespace

auto SharedProbes::probe (const std::string& endpoint) -> Task<EndpointState>
{
    const auto now = SteadyClock::now();
    const auto known = probes.find (endpoint);
    const auto isUsable =
        known != probes.end() && (! known->second->state || (known->second->state == EndpointState::refuses &&
                                                             now - known->second->ended < refusalHolds));

    if (isUsable)
    {
        const auto shared = known->second;

        while (! shared->state)
            co_await pauseFor (loop, probeLook);

        co_return *shared->state;
    }

    std::erase_if (probes, [now] (const auto& entry)
                   { return entry.second->state && now - entry.second->ended >= refusalHolds; });

    const auto own = std::make_shared<Probe>();
    probes.insert_or_assign (endpoint, own);
    own->state = co_await probeEndpoint (pool, parseEndpoint (endpoint), probeWait);
    own->ended = SteadyClock::now();
    co_return *own->state;
}

auto SharedProbes::probeListener (const std::string& endpoint) -> Task<EndpointState>
{
    return probeEndpoint (pool, parseEndpoint (endpoint), probeWait, listenerLook);
}

} // namespace snowrudder
