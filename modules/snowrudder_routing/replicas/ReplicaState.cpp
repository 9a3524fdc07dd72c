#include "ReplicaState.h"

#include <algorithm>

namespace snowrudder
{

auto restrictedAvailability (const ReplicaState& replica, TimePoint now) -> ReplicaAvailability
{
    if (replica.isReplaced)
        return ReplicaAvailability::ended;

    const auto& stated = replica.stated;

    if (isResting (stated.rest, now))
        return ReplicaAvailability::resting;

    if (stated.rateLimit && ! maySend (*stated.rateLimit, now))
        return ReplicaAvailability::limited;

    std::optional<double> present;

    if (replica.reportTime && now - *replica.reportTime < RejectionLimit::loadLifetime)
        present = static_cast<double> (replica.report.running + replica.report.waiting);

    if (hasRested (stated.rest) &&
        ! hasReturnPlace (stated.rest, replica.slots(), replica.hash, replica.inFlight, present, now))
        return ReplicaAvailability::full;

    if (! stated.rejectionLimit)
        return ReplicaAvailability::usable;

    const auto isFree =
        hasFreePlace (*stated.rejectionLimit, replica.slots(), replica.hash, replica.inFlight, present, now);
    return isFree ? ReplicaAvailability::usable : ReplicaAvailability::full;
}

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
