#pragma once

#include "../evidence/VersionVerdict.h"
#include "Rollout.h"

namespace snowrudder
{

/** Times of a roll-out. */
struct RolloutTimes
{
    /** New requests go to the new version for so long before the old replicas stop: most streams have ended then. */
    Duration move = 3s;
    /** Kept back of the period for a slow store, and for nodes that hear of it late. */
    Duration margin = 1s;
    /** Of the period, the part that moving and margin may take. */
    double maxPeriodShare = 0.4;
};

/** Answers of the new version without which it is not taken for good. */
inline constexpr auto minAnswers = std::uint64_t { 30 };

/** @returns the stage that a roll-out is to have now.

    A version that is found bad is rolled back at once, also while requests move to it. One that is not moves on when its period
    is nearly over; without enough answers it goes on being proved, also past its period.

    @param hasOthers  whether there are replicas of other versions: else the version is in service already
*/
auto nextStage (const Rollout& rollout,
              const VersionVerdict& verdict,
              bool hasOthers,
              const RolloutTimes& times,
              TimePoint now) -> RolloutStage;

} // namespace snowrudder
