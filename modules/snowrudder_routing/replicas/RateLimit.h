#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace snowrudder
{

/** The number of requests a second that a replica stated it takes from all routers together, and this router's part of
    them. All routers keep to equal parts, without any message before a request: each may send one request at a time of
    its own, at intervals of the number of routers divided by the limit. The times of different routers are independent.
*/
struct RateLimit
{
    /** How long a router may use a permission to send, so that the permissions of many routers can't pile up. */
    static constexpr auto permissionLifetime = std::chrono::duration<double> (1.0);

    /** The stated limit, in requests a second of all routers. */
    double perSecond = 0.0;
    /** When the replica stated it. */
    TimePoint statedAt {};
    /** This router's part, in requests a second. */
    double ownRate = 0.0;
    /** Number of permissions that this router has received until `countedAt`; begins with a random fraction. */
    double received = 0.0;
    TimePoint countedAt {};
    /** Number of those that were used or have expired. */
    double used = 0.0;
    /** Requests that this router sent since the replica states a limit. */
    std::uint64_t sent = 0;
};

/** A replica that states a limit, and this router's part of it. */
struct LimitedReplica
{
    std::string name;
    /** As in RateLimit. */
    double perSecond = 0.0;
    double ownRate = 0.0;
    std::uint64_t sent = 0;
};

/** The least limit that is applied, in requests a second: a replica that states less must still get a request now and then,
    since only an answer can state another limit.
*/
inline constexpr auto minAppliedLimit = 0.1;

/** @returns the rate that all routers together keep to, in requests a second.

    The times at which routers send are independent, so that the requests of some seconds vary around their mean like a Poisson
    distribution. The reserve keeps a window of 4 s within 1.5 times the limit and 5 requests: it is exceeded in less than
    1 of 10,000 windows at any limit.

    @param perSecond  the stated limit
*/
inline auto appliedLimit (double perSecond) -> double
{
    constexpr auto smallLimit = 5.0;
    constexpr auto shareOfSmallLimit = 0.6;
    constexpr auto minShare = 0.87;
    constexpr auto maxShare = 0.9;
    constexpr auto shareGrowth = 0.006;

    if (perSecond < smallLimit)
        return std::max (perSecond, minAppliedLimit) * shareOfSmallLimit;

    return perSecond * std::min (maxShare, minShare + shareGrowth * (perSecond - smallLimit));
}

/** @returns the number of permissions received until `now`. */
inline auto receivedPermissions (const RateLimit& limit, TimePoint now) -> double
{
    const auto passed = std::chrono::duration<double> (now - limit.countedAt);
    return limit.received + limit.ownRate * std::max (0.0, passed.count());
}

/** @returns the number of permissions used or expired until `now`. */
inline auto usedPermissions (const RateLimit& limit, TimePoint now) -> double
{
    const auto expired =
        receivedPermissions (limit, now) - limit.ownRate * RateLimit::permissionLifetime.count();
    return std::max (limit.used, std::floor (expired));
}

/** @returns whether this router may send a request to the replica now. */
inline auto maySend (const RateLimit& limit, TimePoint now) -> bool
{
    return std::floor (receivedPermissions (limit, now)) > usedPermissions (limit, now);
}

/** Uses a permission, also where there is none: requests that can't wait count like others. */
inline auto usePermission (RateLimit& limit, TimePoint now) -> void
{
    limit.used = usedPermissions (limit, now) + 1.0;
    ++limit.sent;
}

/** Sets this router's part of the limit. Permissions received so far are kept.

    @param ownShare  from 0 to 1
*/
inline auto setOwnShare (RateLimit& limit, double ownShare, TimePoint now) -> void
{
    limit.used = usedPermissions (limit, now);
    limit.received = receivedPermissions (limit, now);
    limit.countedAt = now;
    limit.ownRate = appliedLimit (limit.perSecond) * ownShare;
}

} // namespace snowrudder
