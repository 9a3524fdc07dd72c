#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace snowrudder
{

/** What is known of one router's settings. */
struct RouterRevision
{
    std::string failureDomain;
    /** 0 where it did not answer. */
    std::uint64_t revision = 0;
};

/** Says whether a stored revision may be called accepted: two routers in two failure domains hold it, or, in a fleet of
    one domain or one router, as many as there can be. From there it reaches every router without the platform's service,
    and neither the accepting process nor a whole failure domain can take it along (docs/design/settings.md).
*/
auto isAccepted (std::span<const RouterRevision> routers, std::uint64_t revision) -> bool;

} // namespace snowrudder
