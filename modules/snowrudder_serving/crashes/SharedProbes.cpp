#include "SharedProbes.h"

namespace snowrudder
{

namespace
{

/** Connections within the platform are established in a few milliseconds, but nodes with a fraction of a core are
    scheduled only every 100 ms.
*/
constexpr auto probeTimeout = 400ms;

/** How long an accepted connection is observed. If the replica behind a listener has ended, the connection is closed
    within a few milliseconds.
*/
constexpr auto listenerObservationTime = 200ms;

/** How often requests that share a probe poll for its result. */
constexpr auto probePollInterval = 2ms;

/** How long the result of a refused probe is reused: a replica takes longer than this to restart. */
constexpr auto refusalCacheTime = 200ms;

} // namespace

auto SharedProbes::probe (const std::string& endpoint) -> Task<EndpointState>
{
    const auto now = BootClock::now();
    const auto found = probes.find (endpoint);
    const auto isUsable =
        found != probes.end() && (! found->second->state || (found->second->state == EndpointState::refuses &&
                                                             now - found->second->ended < refusalCacheTime));

    if (isUsable)
    {
        const auto shared = found->second;

        while (! shared->state)
            co_await pauseFor (loop, probePollInterval);

        co_return *shared->state;
    }

    std::erase_if (probes, [now] (const auto& entry)
                   { return entry.second->state && now - entry.second->ended >= refusalCacheTime; });

    const auto own = std::make_shared<Probe>();
    probes.insert_or_assign (endpoint, own);
    const auto state = co_await probeEndpoint (pool, parseEndpoint (endpoint), probeTimeout);
    own->state = co_await confirmed (endpoint, state);
    own->ended = BootClock::now();
    co_return *own->state;
}

auto SharedProbes::probeListener (const std::string& endpoint) -> Task<EndpointState>
{
    const auto state =
        co_await probeEndpoint (pool, parseEndpoint (endpoint), probeTimeout, listenerObservationTime);
    co_return co_await confirmed (endpoint, state);
}

auto SharedProbes::confirmed (std::string endpoint, EndpointState state) -> Task<EndpointState>
{
    const auto isDown = state == EndpointState::refuses || state == EndpointState::closes;

    if (! confirm || ! isDown)
        co_return state;

    co_return co_await confirm (std::move (endpoint), state);
}

} // namespace snowrudder
