#pragma once

#include "../directory/ReplicaDirectory.h"
#include "../duties/UsageCollector.h"
#include "../node/ServingSettings.h"

#include "snowrudder_rollout/snowrudder_rollout.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace snowrudder
{

/** Status of a roll-out as operators read it. */
struct RolloutStatus
{
    std::string service;
    std::string targetVersion;
    RolloutStage stage = RolloutStage::proving;
    /** Revision of the status in the store. */
    std::uint64_t revision = 0;
};

/** State of roll-outs at a node, with its counts of the answers of both versions. Belongs to one event loop. */
class RolloutState
{
public:
    explicit RolloutState (const ServingSettings& settings)
        : exposureShare (settings.exposureShare), countsOfOthers (settings.failureDomain)
    {
        table.isLoaded = ! settings.followsRollouts;
    }

    /** Merges a roll-out from the store or another node, and logs changes. */
    auto merge (const Rollout& received, std::string_view from) -> void;

    /** Records which versions are listed. If no other version is listed from the order on, the version is in service
        already.
    */
    auto recordListedVersions (const ReplicaDirectory& directory) -> void;

    /** @returns whether replicas of other versions have been listed since this node received the order of a roll-out. */
    [[nodiscard]] auto hasSeenOtherVersions (const Rollout& rollout) const -> bool
    {
        return numbersWithOtherVersions.contains (rollout.number);
    }

    /** @returns which replicas may run an attempt of a request.

        Until this node has received the operators' orders, the version that most replicas have is assumed to be in
        service.

        @param draw  evenly distributed hash of the request
    */
    [[nodiscard]] auto ruleFor (const ReplicaDirectory& directory,
                                const std::string& service,
                                std::uint64_t draw,
                                bool isFirst) const -> VersionRule;

    /** Counts the result of a first attempt if its service is being moved.

        @param firstByte  time to the first byte; empty if none arrived
        @param tokens     prompt tokens that the replica was expected to process
        @param speed      prompt tokens that it processes per millisecond
    */
    auto recordAnswer (const ReplicaInfo& replica,
                       std::string_view route,
                       bool isFailed,
                       std::optional<Duration> firstByte,
                       double tokens,
                       double speed) -> void;

    /** @returns this node's counts of open roll-outs. */
    [[nodiscard]] auto ownCounts() const -> CountsByWindow;

    /** @returns the counts of all nodes of this failure domain. */
    [[nodiscard]] auto domainCounts() const -> CountsByWindow;

    /** @returns the verdict on a roll-out's version from the answers that all nodes counted. */
    [[nodiscard]] auto verdictFor (const Rollout& rollout) const -> VersionVerdict;

    RolloutTable table;
    /** By service, as the store has it. */
    std::map<std::string, RolloutStatus, std::less<>> statuses;
    [[nodiscard]] auto others() -> UsageCollector& { return countsOfOthers; }

private:
    [[nodiscard]] auto openNumbers() const -> std::vector<std::uint64_t>;
    [[nodiscard]] auto ownCountsOf (std::uint64_t number) const -> AccountCounts;

    const double exposureShare;
    SlowAnswerDetector slowAnswers;
    /** By a roll-out's number. */
    CountsByWindow counts;
    UsageCollector countsOfOthers;
    /** Numbers of roll-outs for which replicas of other versions were listed. */
    std::set<std::uint64_t> numbersWithOtherVersions;
};

/** @returns the version that most of a service's replicas have; empty if all have the same. */
auto mostCommonVersion (const ReplicaDirectory& directory, std::string_view service) -> std::string;

/** @returns whether a service has replicas of another version that are not leaving. */
auto hasOtherVersions (const ReplicaDirectory& directory, std::string_view service, std::string_view version)
    -> bool;

} // namespace snowrudder
