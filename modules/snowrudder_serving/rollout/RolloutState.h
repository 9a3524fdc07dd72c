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

/** What operators read of a roll-out. */
struct RolloutStatus
{
    std::string service;
    std::string targetVersion;
    RolloutStage stage = RolloutStage::proving;
    /** The store's revision of it. */
    std::uint64_t revision = 0;
};

/** What a node knows of roll-outs, and what answers of both versions it counted. Belongs to one event loop. */
class RolloutState
{
public:
    explicit RolloutState (const ServingSettings& settings)
        : exposureShare (settings.exposureShare), countsOfOthers (settings.failureDomain)
    {
        table.isLoaded = ! settings.followsRollouts;
    }

    /** Takes in what the store or another node told; logs what is new. */
    auto merge (const Rollout& heard, std::string_view from) -> void;

    /** Notes which versions are listed. A version that stands alone from its order on is in service already. */
    auto recordListedVersions (const ReplicaDirectory& directory) -> void;

    /** @returns whether other versions were listed beside a roll-out's, since its order was known. */
    [[nodiscard]] auto hasSeenOtherVersions (const Rollout& rollout) const -> bool
    {
        return numbersWithOtherVersions.contains (rollout.number);
    }

    /** @returns which replicas may run an attempt of a request.

        Before this node knows what operators ordered, the version that most replicas have is taken for the one in service.

        @param draw  evenly spread hash of the request
    */
    [[nodiscard]] auto ruleFor (const ReplicaDirectory& directory,
                                const std::string& service,
                                std::uint64_t draw,
                                bool isFirst) const -> VersionRule;

    /** Counts how a first attempt ended, where its service is being moved.

        @param firstByte  since it was sent; nothing where none came
        @param tokens     that the replica was expected to read
        @param speed      tokens that it reads a millisecond
    */
    auto recordAnswer (const ReplicaInfo& replica,
                     std::string_view route,
                     bool isFailed,
                     std::optional<Duration> firstByte,
                     double tokens,
                     double speed) -> void;

    /** @returns this node's counts of roll-outs that are not decided. */
    [[nodiscard]] auto ownCounts() const -> CountsByWindow;

    /** @returns the counts of all nodes of this failure domain. */
    [[nodiscard]] auto domainCounts() const -> CountsByWindow;

    /** @returns what the answers that all nodes counted say of a roll-out's version. */
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
    /** Numbers of roll-outs beside whose version others were listed. */
    std::set<std::uint64_t> numbersWithOtherVersions;
};

/** @returns the version that most of a service's replicas have; empty where all have the same. */
auto mostCommonVersion (const ReplicaDirectory& directory, std::string_view service) -> std::string;

/** @returns whether a service has replicas that are not leaving and have another version. */
auto hasOtherVersions (const ReplicaDirectory& directory, std::string_view service, std::string_view version)
    -> bool;

} // namespace snowrudder
