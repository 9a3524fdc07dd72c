#include "../duties/DutyLoops.h"
#include "RolloutLoops.h"

namespace snowrudder
{

namespace
{

constexpr auto tick = 250ms;

/** Operators see a single state for both stages of a roll-out in progress. */
auto publicStage (RolloutStage stage) -> RolloutStage
{
    return stage == RolloutStage::moving ? RolloutStage::proving : stage;
}

auto isStatusWritten (const RolloutState& rollouts, const Rollout& rollout) -> bool
{
    const auto status = rollouts.statuses.find (rollout.service);
    return status != rollouts.statuses.end() && status->second.revision > rollout.number &&
           status->second.targetVersion == rollout.targetVersion &&
           status->second.stage == publicStage (rollout.stage);
}

/** Writes the status of a roll-out if this node still holds the duties.

    @returns whether the store has accepted it
*/
auto writeStatus (ServingState& state, const StateStore& store, const StoreFormats& formats, Rollout rollout)
    -> Task<bool>
{
    RolloutStatus status { rollout.service, rollout.targetVersion, publicStage (rollout.stage), 0 };
    StoreTransaction transaction;
    transaction.conditions.push_back ({ std::string (leaderKey), state.leadership.fence });
    transaction.puts.push_back (formats.writeRolloutStatus (status));
    const auto result = co_await store.commit (std::move (transaction));
    LogLine ("rollout_status_written")
        .with ("service", rollout.service)
        .with ("target_version", rollout.targetVersion)
        .with ("stage", toString (rollout.stage))
        .with ("fence", state.leadership.fence)
        .with ("outcome", toString (result.outcome))
        .info();

    if (result.outcome != StoreOutcome::done)
        co_return false;

    status.revision = result.revision;
    state.rollouts.statuses[rollout.service] = status;
    co_return true;
}

auto logVerdict (const Rollout& rollout, const VersionVerdict& verdict, RolloutStage next) -> void
{
    LogLine ("rollout_verdict")
        .with ("service", rollout.service)
        .with ("target_version", rollout.targetVersion)
        .with ("before", toString (rollout.stage))
        .with ("stage", toString (next))
        .with ("answers", verdict.answers)
        .with ("bad", verdict.bad)
        .with ("evidence", verdict.evidence)
        .with ("reason", verdict.reason)
        .info();
}

auto decide (ServingState& state, const StateStore& store, const StoreFormats& formats, Rollout rollout)
    -> Task<void>
{
    const auto verdict = state.rollouts.verdictFor (rollout);
    const auto hasOthers = state.rollouts.hasSeenOtherVersions (rollout);
    const auto next = nextStage (rollout, verdict, hasOthers, {}, BootClock::now());

    if (next != rollout.stage)
    {
        logVerdict (rollout, verdict, next);
        rollout.stage = next;

        // The old replicas stop as soon as the store has the status; until then requests may still go to them.
        if (next == RolloutStage::completed && ! co_await writeStatus (state, store, formats, rollout))
            co_return;

        state.rollouts.merge (rollout, state.settings.node);
    }

    if (! isStatusWritten (state.rollouts, rollout))
        co_await writeStatus (state, store, formats, rollout);
}

} // namespace

auto decideRollouts (ServingState& state, const StateStore& store, const StoreFormats& formats) -> Task<void>
{
    for (;;)
    {
        co_await pauseFor (state.loop, tick);

        for (const auto& rollout : state.rollouts.table.all())
        {
            if (! mayCallDuty (state.leadership, state.leadershipTimes, BootClock::now()))
                break;

            if (isOpen (rollout) || ! isStatusWritten (state.rollouts, rollout))
                co_await decide (state, store, formats, rollout);
        }
    }
}

} // namespace snowrudder
