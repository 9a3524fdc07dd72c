#include "VersionRule.h"

#include <cmath>
#include <limits>

namespace snowrudder
{

auto isSampled (std::uint64_t draw, double share) -> bool
{
    return static_cast<double> (draw) < share * std::exp2 (std::numeric_limits<std::uint64_t>::digits);
}

auto versionRule (const Rollout* rollout, std::uint64_t draw, bool isFirst, double maxShare) -> VersionRule
{
    if (rollout == nullptr)
        return {};

    switch (rollout->stage)
    {
        case RolloutStage::moving:
        case RolloutStage::completed:
            return { VersionRule::Kind::only, rollout->targetVersion, false };
        case RolloutStage::proving:
            if (isFirst && isSampled (combineHashes (draw, rollout->number), sampledExposureShare * maxShare))
                return { VersionRule::Kind::only, rollout->targetVersion, true };
            break;
        case RolloutStage::rolledBack:
            break;
    }

    return { VersionRule::Kind::allBut, rollout->targetVersion, false };
}

} // namespace snowrudder
