#include "RolloutSchedule.h"

#include <algorithm>

namespace snowrudder
{

auto nextStage (const Rollout& rollout,
                const VersionVerdict& verdict,
                bool hasOthers,
                const RolloutTimes& times,
                TimePoint now) -> RolloutStage
{
    if (! isOpen (rollout))
        return rollout.stage;

    if (verdict.isBad)
        return RolloutStage::rolledBack;

    // There is no other version to compare with or to move from.
    if (! hasOthers)
        return verdict.answers > 0 ? RolloutStage::completed : rollout.stage;

    if (verdict.answers < minAnswers)
        return rollout.stage;

    const auto scale = std::min (1.0, times.maxPeriodShare * std::chrono::duration<double> (rollout.period) /
                                          std::chrono::duration<double> (times.move + times.margin));
    const auto scaled = [scale] (Duration time)
    { return std::chrono::duration_cast<Duration> (time * scale); };
    const auto end = rollout.orderedAt + rollout.period - scaled (times.margin);

    if (rollout.stage == RolloutStage::moving && now >= end)
        return RolloutStage::completed;

    return now >= end - scaled (times.move) ? RolloutStage::moving : rollout.stage;
}

} // namespace snowrudder
