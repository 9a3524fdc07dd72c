#include "ReplicaState.h"

#include <algorithm>

namespace snowrudder
{

auto recordAttemptHealth (ReplicaState& replica,
                          AttemptHealth health,
                          const BreakerLimits& limits,
                          TimePoint now) -> void
{
    replica.isProbing = false;

    if (health == AttemptHealth::neutral || health == AttemptHealth::refused)
        return;

    if (health == AttemptHealth::good)
    {
        replica.failuresInRow = 0;
        replica.timesOpened = 0;
        replica.openUntil.reset();
        return;
    }

    ++replica.failuresInRow;

    // A refused connection is conclusive; a failed answer may be caused by the request.
    if (health == AttemptHealth::failed && replica.failuresInRow < limits.failuresToOpen)
        return;

    constexpr auto maxDoublings = 10U;
    const auto factor = 1U << std::min (replica.timesOpened, maxDoublings);
    const auto pause = std::min (limits.firstPause * factor, limits.longestPause);
    replica.openUntil = now + pause;
    ++replica.timesOpened;
}

} // namespace snowrudder
