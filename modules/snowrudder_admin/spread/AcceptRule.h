#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace snowrudder
{

/** The settings revision that a router holds. */
struct RouterRevision
{
    std::string failureDomain;
    /** 0 if the router did not respond. */
    std::uint64_t revision = 0;
};

/** @returns whether a stored revision counts as accepted: at least two routers, in at least two failure domains, hold
    it. In a fleet with only one router, or routers in only one failure domain, one of these is enough. An accepted
    revision reaches all routers without the platform's service, and is not lost if the administration process or a
    whole failure domain fails (docs/design/settings.md).
*/
auto isAccepted (std::span<const RouterRevision> routers, std::uint64_t revision) -> bool;

} // namespace snowrudder
