#pragma once

#include "../order/Rollout.h"

#include <string>
#include <string_view>

namespace snowrudder
{

/** Selects by version the replicas that may run a request. */
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
    /** Whether the version is still being judged, so that a request that fails on it must be run again by the one in
        service.
    */
    bool isTrial = false;

    [[nodiscard]] auto allows (std::string_view replicasVersion) const -> bool
    {
        return kind == Kind::any || (kind == Kind::only) == (replicasVersion == version);
    }
};

/** Fraction that is used of the maximum share of requests for a version that is still being judged. The rest is
    reserved for requests that are counted late and for retries of callers.
*/
inline constexpr auto sampledExposureShare = 0.6;

/** @returns whether a request is in the sample that a version under judgement runs.

    The sample depends on the request alone, so that all nodes together keep to the share without communication, also
    while nodes are partitioned, start or crash.

    @param draw   evenly distributed hash of the request
    @param share  of the requests, from 0 to 1
*/
auto isSampled (std::uint64_t draw, double share) -> bool;

/** @returns the rule for one attempt.

    @param isFirst   whether it is the first attempt of the request; later ones go to the version in service
    @param maxShare  maximum share of the requests for a version that is still being judged
*/
auto versionRule (const Rollout* rollout, std::uint64_t draw, bool isFirst, double maxShare) -> VersionRule;

} // namespace snowrudder
