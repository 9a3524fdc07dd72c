#pragma once

#include "../order/Rollout.h"

#include <string>
#include <string_view>

namespace snowrudder
{

/** Which replicas may run a request, by their version. */
struct VersionRule
{
    enum class Kind : std::uint8_t
    {
        any,
        only,
        allBut
    };

    Kind kind = Kind::any;
    std::string version;
    /** Whether the version is unproved: what it fails must be run again by the one in service. */
    bool isTrial = false;

    [[nodiscard]] auto allows (std::string_view replicasVersion) const -> bool
    {
        return kind == Kind::any || (kind == Kind::only) == (replicasVersion == version);
    }
};

/** Of the share of requests that an unproved version may get at most, the part that it is given. The rest is for requests that
    are counted late and for repeats of callers.
*/
inline constexpr auto sampledExposureShare = 0.6;

/** @returns whether a request is one of those that an unproved version runs.

    The draw is made from the request itself, so that all nodes together keep to the share without telling each other anything,
    whichever of them are cut off, start or die.

    @param draw   evenly spread hash of the request
    @param share  of the requests, from 0 to 1
*/
auto isSampled (std::uint64_t draw, double share) -> bool;

/** @returns the rule for one attempt.

    @param isFirst    whether it is the request's first: another goes to the version in service
    @param mostShare  of the requests, that an unproved version may get at most
*/
auto versionRule (const Rollout* rollout, std::uint64_t draw, bool isFirst, double mostShare) -> VersionRule;

} // namespace snowrudder
