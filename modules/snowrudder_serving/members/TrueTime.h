#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <optional>

namespace snowrudder
{

/** Time since the start of 1970, kept on the steady clock: the wall clock may jump by seconds and back. A difference
    between the two is followed only once it has lasted longer than such jumps do.
*/
class TrueTime
{
public:
    /** Compares the clocks; call some times a second.

        @param wall  the wall clock's time since the start of 1970
    */
    auto compare (TimePoint steady, Duration wall) -> void
    {
        const auto difference = wall - steady.time_since_epoch();

        if (! offset)
            offset = difference;

        const auto gap = difference > *offset ? difference - *offset : *offset - difference;

        if (gap <= smallGap)
        {
            differsSince.reset();
            return;
        }

        if (! differsSince)
            differsSince = steady;

        if (steady - *differsSince < jumpTime)
            return;

        offset = difference;
        differsSince.reset();
    }

    /** @returns time since the start of 1970. */
    [[nodiscard]] auto now (TimePoint steady) const -> Duration
    {
        return steady.time_since_epoch() + offset.value_or (Duration::zero());
    }

private:
    /** Clocks of VMs differ by some tens of milliseconds and drift slowly. */
    static constexpr auto smallGap = Duration (100ms);
    /** Jumps of the wall clock that were seen lasted some seconds. */
    static constexpr auto jumpTime = Duration (15s);

    std::optional<Duration> offset;
    std::optional<TimePoint> differsSince;
};

} // namespace snowrudder
