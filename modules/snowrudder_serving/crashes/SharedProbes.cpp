#include "SharedProbes.h"

namespace snowrudder
{

namespace
{

/** A connection inside the platform comes up within a few milliseconds; nodes on a part of a core run every 100 ms. */
constexpr auto probeTimeout = 400ms;

/** How long an accepted connection is looked at. What is left of a replica that ended closes it within a few milliseconds. */
constexpr auto listenerObservationTime = 200ms;

/** How often requests that share a probe look whether it has ended. */
constexpr auto probePollInterval = 2ms;

/** An address that refused is taken to go on refusing for so long: a replica takes longer to start again. */
constexpr auto refusalCacheTime = 200ms;

} // namespace

auto SharedProbes::probe (const std::string& endpoint) -> Task<EndpointState>
{
    const auto now = SteadyClock::now();
    const auto cached = probes.find (endpoint);
    const auto isUsable =
        cached != probes.end() && (! cached->second->state || (cached->second->state == EndpointState::refuses &&
                                                             now - cached->second->ended < refusalCacheTime));

    if (isUsable)
    {
        const auto shared = cached->second;

        while (! shared->state)
            co_await pauseFor (loop, probePollInterval);

        co_return *shared->state;
    }

    std::erase_if (probes, [now] (const auto& entry)
                   { return entry.second->state && now - entry.second->ended >= refusalCacheTime; });

    const auto own = std::make_shared<Probe>();
    probes.insert_or_assign (endpoint, own);
    own->state = co_await probeEndpoint (pool, parseEndpoint (endpoint), probeTimeout);
    own->ended = SteadyClock::now();
    co_return *own->state;
}

auto SharedProbes::probeListener (const std::string& endpoint) -> Task<EndpointState>
{
    return probeEndpoint (pool, parseEndpoint (endpoint), probeTimeout, listenerObservationTime);
}

} // namespace snowrudder
