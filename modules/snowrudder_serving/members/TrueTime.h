#pragma once

#include "snowrudder_core/snowrudder_core.h"

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
            differsSince = steady;

        if (steady - differsSince < jumpTime)
            return;

        offset = difference;
        differsSince = TimePoint();
    }

    /** @returns time since the start of 1970. */
    [[nodiscard]] auto now (TimePoint steady) const -> Duration { return steady.time_since_epoch() + offset; }

private:
    /** Clocks of VMs differ by some tens of milliseconds and drift slowly. */
    static constexpr auto smallGap = Duration (100ms);
    /** Jumps of the wall clock that were seen lasted some seconds. */
    static constexpr auto jumpTime = Duration (15s);

    /** Wall clock less steady clock. */
    Duration offset {};
    bool isSet = false;
    /** Since when the clocks differ by something else; the clock's first point where they don't. */
    TimePoint differsSince {};
};

} // namespace snowrudder
