#include "RolloutState.h"

#include <algorithm>

namespace snowrudder
{

auto RolloutState::merge (const Rollout& received, std::string_view from) -> void
{
    if (! table.merge (received))
        return;

    LogLine ("rollout_stage")
        .with ("service", received.service)
        .with ("target_version", received.targetVersion)
        .with ("number", received.number)
        .with ("stage", toString (received.stage))
        .with ("period_milliseconds", inMilliseconds (received.period))
        .with ("from", from)
        .info();

    // Counts of closed roll-outs are not needed any more.
    const auto open = openNumbers();
    std::erase_if (counts, [&open] (const auto& known) { return ! std::ranges::count (open, known.first); });

    if (! open.empty())
        countsOfOthers.dropBefore (*std::ranges::min_element (open));
}

auto RolloutState::recordListedVersions (const ReplicaDirectory& directory) -> void
{
    for (const auto& rollout : table.all())
        if (isOpen (rollout) && ! numbersWithOtherVersions.contains (rollout.number) &&
            hasOtherVersions (directory, rollout.service, rollout.targetVersion))
            numbersWithOtherVersions.insert (rollout.number);
}

auto RolloutState::ruleFor (const ReplicaDirectory& directory,
                            const std::string& service,
                            std::uint64_t draw,
                            bool isFirst) const -> VersionRule
{
    if (const auto* const rollout = table.find (service))
    {
        const auto isOnlyVersion = isOpen (*rollout) && ! hasSeenOtherVersions (*rollout);
        return isOnlyVersion ? VersionRule() : versionRule (rollout, draw, isFirst, exposureShare);
    }

    if (table.isLoaded)
        return {};

    auto inService = mostCommonVersion (directory, service);
    return inService.empty() ? VersionRule()
                             : VersionRule { VersionRule::Kind::only, std::move (inService), false };
}

auto RolloutState::recordAnswer (const ReplicaInfo& replica,
                                 std::string_view route,
                                 bool isFailed,
                                 std::optional<Duration> firstByte,
                                 double tokens,
                                 double speed) -> void
{
    const auto* const rollout = table.find (replica.service);
    // Counted only in the stage `proving`: while all requests move to the new version, its share of the answers is no
    // longer the one that the judgement assumes.
    const auto isCounted = rollout != nullptr && rollout->stage == RolloutStage::proving;
    const auto isTarget = rollout != nullptr && replica.version == rollout->targetVersion;
    auto quality = isFailed ? AnswerQuality::failed : AnswerQuality::good;

    if (! isFailed && firstByte)
    {
        if (isCounted && slowAnswers.isSlow (route, *firstByte, tokens, speed))
            quality = AnswerQuality::slow;

        if (! isTarget)
            slowAnswers.record (route, *firstByte, tokens, speed);
    }

    if (isCounted)
        snowrudder::recordAnswer (counts[rollout->number], isTarget, route, replica.name, quality);
}

auto RolloutState::ownCounts() const -> CountsByWindow
{
    CountsByWindow own;

    for (const auto number : openNumbers())
        if (auto known = ownCountsOf (number); ! known.empty())
            own.emplace (number, std::move (known));

    return own;
}

auto RolloutState::domainCounts() const -> CountsByWindow
{
    CountsByWindow all;

    for (const auto number : openNumbers())
        if (auto known = countsOfOthers.countsOfDomain (number, ownCountsOf (number)); ! known.empty())
            all.emplace (number, std::move (known));

    return all;
}

auto RolloutState::verdictFor (const Rollout& rollout) const -> VersionVerdict
{
    return judgeVersion (
        readTallies (countsOfOthers.countsOfAllNodes (rollout.number, ownCountsOf (rollout.number))));
}

auto RolloutState::openNumbers() const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> numbers;

    for (const auto& rollout : table.all())
        if (isOpen (rollout))
            numbers.push_back (rollout.number);

    return numbers;
}

auto RolloutState::ownCountsOf (std::uint64_t number) const -> AccountCounts
{
    const auto found = counts.find (number);
    return found == counts.end() ? AccountCounts() : found->second;
}

auto mostCommonVersion (const ReplicaDirectory& directory, std::string_view service) -> std::string
{
    std::map<std::string, std::size_t> replicas;

    for (const auto& [key, entry] : directory.entries)
        if (entry.info.service == service)
            ++replicas[entry.info.version];

    if (replicas.size() < 2)
        return {};

    return std::ranges::max_element (replicas, {}, [] (const auto& counted) { return counted.second; })
        ->first;
}

auto hasOtherVersions (const ReplicaDirectory& directory, std::string_view service, std::string_view version)
    -> bool
{
    return std::ranges::any_of (directory.entries,
                                [&] (const auto& known)
                                {
                                    const auto& entry = known.second;
                                    return entry.info.service == service && ! leaves (entry) &&
                                           entry.info.version != version;
                                });
}

} // namespace snowrudder
