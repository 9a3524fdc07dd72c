#include "ReplicaPaths.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

auto neededFailures (std::size_t listed) -> std::size_t
{
    return std::clamp<std::size_t> (listed, 1, failuresToLosePaths);
}

} // namespace

auto recordContact (ReplicaPaths& paths, std::optional<TimePoint> connectedAt, TimePoint now) -> bool
{
    paths.lastContact = now;

    if (! connectedAt)
        return false;

    std::erase_if (paths.failures,
                   [&connectedAt] (const auto& entry) { return entry.second <= *connectedAt; });

    if (! paths.lostSince || *paths.lostSince > *connectedAt)
        return false;

    paths.failures.clear();
    paths.isReachedByOthers = false;
    paths.lostSince.reset();
    return true;
}

auto recordPathFailure (ReplicaPaths& paths, std::uint32_t replica, std::size_t listed, TimePoint now) -> bool
{
    std::erase_if (paths.failures,
                   [now] (const auto& entry) { return now - entry.second > pathFailureLifetime; });
    paths.failures.insert_or_assign (replica, now);
    paths.isProbeAccepted = false;

    if (paths.lostSince || paths.failures.size() < neededFailures (listed))
        return false;

    paths.lostSince = now;
    paths.isReachedByOthers = false;
    paths.nextTrial = now;
    paths.trialPause = minPathTrialPause;
    return true;
}

auto recordReachedByOther (ReplicaPaths& paths, std::uint32_t replica) -> bool
{
    if (! paths.lostSince || paths.isReachedByOthers || ! paths.failures.contains (replica))
        return false;

    paths.isReachedByOthers = true;
    return true;
}

auto recordUnreachedByOther (ReplicaPaths& paths, std::uint32_t replica, std::size_t listed) -> bool
{
    paths.failures.erase (replica);

    if (! paths.lostSince || paths.isReachedByOthers || paths.failures.size() >= neededFailures (listed))
        return false;

    paths.lostSince.reset();
    return true;
}

auto recordAcceptedProbe (ReplicaPaths& paths, TimePoint connectedAt, TimePoint now) -> void
{
    if (! paths.lostSince)
        recordContact (paths, connectedAt, now);
    else if (*paths.lostSince <= connectedAt)
        paths.isProbeAccepted = true;
}

auto mayTryPaths (const ReplicaPaths& paths, TimePoint now) -> bool
{
    return paths.lostSince && paths.isProbeAccepted && now >= paths.nextTrial;
}

auto recordTrial (ReplicaPaths& paths, TimePoint now) -> void
{
    paths.isProbeAccepted = false;
    paths.nextTrial = now + paths.trialPause;
    paths.trialPause = std::min (2 * paths.trialPause, maxPathTrialPause);
}

auto shouldProbePaths (ReplicaPaths& paths, Duration longestSilence, TimePoint now) -> bool
{
    const auto isSilent =
        longestSilence >= silenceBeforeProbe && now - paths.lastContact >= silenceBeforeProbe;

    if ((! paths.lostSince && ! isSilent) || now - paths.lastProbe < pathProbeInterval)
        return false;

    paths.lastProbe = now;
    return true;
}

auto isAnswerLost (const ReplicaPaths& paths, TimePoint lastBytes, TimePoint now) -> bool
{
    return paths.lostSince && paths.isReachedByOthers &&
           now - std::max (lastBytes, *paths.lostSince) >= silenceOnLostPath;
}

} // namespace snowrudder
