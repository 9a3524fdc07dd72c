#include "StorePauses.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** How long a node that has just started waits at most until it knows the size of its failure domain. That takes two short
    calls, and 1.5 s more when the whole fleet starts for the first time.
*/
constexpr auto domainMembersTimeout = Duration (2s);
constexpr auto domainMembersPollInterval = 5ms;

/** How often the pause of a node of a large failure domain doubles: a thousand of them call a failing store 250 times a
    second then, and each again within 6 s of its return.
*/
constexpr auto maxPauseDoublings = std::size_t { 2 };

} // namespace

auto pauseAfterFailure (const ServingState& state, std::size_t failures) -> Duration
{
    // A node that doesn't know the members yet may be one of a thousand that start together.
    const auto readsForOthers = state.storeUpdates.isReader && state.sharing.members;

    if (readsForOthers || failures < 2)
        return failurePause;

    if (! reliesOnReaders (state.storeUpdates))
        return jittered (followerPause);

    const auto doublings = std::min (failures - 2, maxPauseDoublings);
    return jittered (followerPause * (1U << doublings));
}

auto awaitDomainMembers (const ServingState& state) -> Task<void>
{
    const auto end = BootClock::now() + domainMembersTimeout;

    while (! state.storeUpdates.domainMembers && BootClock::now() < end)
        co_await pauseFor (state.loop, domainMembersPollInterval);
}

} // namespace snowrudder
