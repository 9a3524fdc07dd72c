#include "Leadership.h"

#include <algorithm>

namespace snowrudder
{

auto recordRenewal (Leadership& own, StoreOutcome outcome, const LeadershipTimes& times, TimePoint sentAt)
    -> void
{
    if (outcome == StoreOutcome::done)
    {
        own.leaseEnd = std::max (own.leaseEnd, sentAt + times.lease);
        return;
    }

    if (outcome == StoreOutcome::refused)
        recordLoss (own, "lease_ended", sentAt);
}

auto recordAcquisition (Leadership& own, std::uint64_t revision) -> void
{
    if (own.fence == revision)
        return;

    own.fence = revision;
    LogLine ("duties_taken").with ("fence", revision).with ("lease", own.lease).info();
}

auto recordLoss (Leadership& own, std::string_view reason, TimePoint now) -> void
{
    if (own.fence != 0)
    {
        own.lastHeld = now;
        LogLine ("duties_lost").with ("fence", own.fence).with ("reason", reason).warning();
    }

    own.fence = 0;
    own.lease = 0;
    own.leaseEnd = {};
}

} // namespace snowrudder
