#pragma once

#include "snowrudder_core/snowrudder_core.h"

namespace snowrudder
{

/** Wall time derived from the boot clock, since the wall clock itself may jump by seconds and back. A changed offset
    between the two clocks is adopted only after it has lasted longer than such jumps do.
*/
class TrueTime
{
public:
    /** Compares the clocks; to be called a few times a second.

        @param wall  the wall clock's time since the Unix epoch
    */
    auto compare (TimePoint boot, Duration wall) -> void
    {
        const auto difference = wall - boot.time_since_epoch();

        if (! isSet)
            offset = difference;

        isSet = true;
        const auto gap = difference > offset ? difference - offset : offset - difference;

        if (gap <= smallGap)
        {
            differsSince = TimePoint();
            return;
        }

        if (differsSince == TimePoint())
            differsSince = boot;

        if (boot - differsSince < jumpTime)
            return;

        offset = difference;
        differsSince = TimePoint();
    }

    /** @returns the time since the Unix epoch. */
    [[nodiscard]] auto now (TimePoint boot) const -> Duration { return boot.time_since_epoch() + offset; }

private:
    /** Differences up to this are ignored. Clocks of VMs differ by some tens of milliseconds and drift slowly. */
    static constexpr auto smallGap = Duration (100ms);
    /** How long a difference must last to be adopted. Observed jumps of the wall clock lasted a few seconds. */
    static constexpr auto jumpTime = Duration (15s);

    /** Wall clock minus boot clock. */
    Duration offset {};
    bool isSet = false;
    /** When the clocks began to differ from `offset`; a default TimePoint while they agree. */
    TimePoint differsSince {};
};

} // namespace snowrudder
