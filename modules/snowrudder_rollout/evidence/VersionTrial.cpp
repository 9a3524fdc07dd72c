#include "VersionTrial.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace snowrudder
{

namespace
{

/** Assumed ratios of a bad version's failure rate to that of the version in service. */
constexpr auto failureFactors = std::array { 2.0, 5.0, 20.0 };
/** The same for slow answers. Larger, since replicas that have just started answer a little later than others. */
constexpr auto slowFactors = std::array { 6.0, 20.0 };

/** Evidence, as a natural logarithm, above which a version is rolled back: odds of one in 1,000. */
constexpr auto boundForAllRoutes = 6.9;
/** The same for a single one of many routes. */
constexpr auto boundForRoute = 9.2;

constexpr auto minFailed = std::uint64_t { 3 };

/** Whatever slows one answer slows all that run beside it, so that a few slow ones may come from a single event. */
constexpr auto minSlow = std::uint64_t { 8 };

/** A replica with at least this fraction of bad answers counts against its version. */
constexpr auto badAnswerShare = 0.03;

/** Replicas that must count against a version: this fraction of those that answered, up to a maximum number. */
constexpr auto badReplicaShare = 0.6;
constexpr auto maxBadReplicas = 8.0;

/** @returns the logarithm of the mixture of bets. */
template <std::size_t Size>
auto logOdds (const std::array<double, Size>& factors,
              std::uint64_t targetBad,
              std::uint64_t othersBad,
              double targetShare) -> double
{
    std::array<double, Size> logs {};

    for (std::size_t index = 0; index < Size; ++index)
        logs[index] =
            static_cast<double> (targetBad) * std::log (factors[index]) -
            static_cast<double> (targetBad + othersBad) * std::log1p (targetShare * (factors[index] - 1.0));

    const auto most = *std::ranges::max_element (logs);
    auto sum = 0.0;

    for (const auto log : logs)
        sum += std::exp (log - most);

    return most + std::log (sum / static_cast<double> (Size));
}

/** @returns whether so many replicas gave bad answers that the version, not a few replicas, is the likely cause. */
template <typename BadOf>
auto isWidespread (const std::map<std::string, AnswerTally, std::less<>>& replicas, BadOf badOf) -> bool
{
    const auto isBad = [&] (const auto& known)
    {
        const auto bad = static_cast<double> (badOf (known.second));
        return bad > 0.0 && bad >= badAnswerShare * static_cast<double> (known.second.answers);
    };
    const auto bad = std::ranges::count_if (replicas, isBad);
    const auto wanted =
        std::ceil (std::min (maxBadReplicas, badReplicaShare * static_cast<double> (replicas.size())));
    const auto least = replicas.size() > 1 ? 2.0 : 1.0;
    return static_cast<double> (bad) >= std::max (least, wanted);
}

/** @returns the sum over the quarter of the replicas with the most bad answers, whose own faults say nothing about the
    version.
*/
template <typename BadOf>
auto worstReplicasTally (const std::map<std::string, AnswerTally, std::less<>>& replicas, BadOf badOf)
    -> AnswerTally
{
    constexpr auto worstDivisor = std::size_t { 4 };
    std::vector<AnswerTally> sorted;
    sorted.reserve (replicas.size());

    for (const auto& [name, tally] : replicas)
        sorted.push_back (tally);

    std::ranges::sort (sorted, std::ranges::greater(), badOf);
    sorted.resize (sorted.size() / worstDivisor);
    AnswerTally sum;

    for (const auto& tally : sorted)
    {
        sum.answers += tally.answers;
        sum.failed += tally.failed;
        sum.slow += tally.slow;
    }

    return sum;
}

template <std::size_t Size, typename BadOf>
auto judge (VersionVerdict& verdict,
            const VersionTallies& tallies,
            const std::array<double, Size>& factors,
            std::string_view kind,
            std::uint64_t leastBad,
            BadOf badOf) -> void
{
    if (! isWidespread (tallies.replicas, badOf))
        return;

    const auto evaluate =
        [&] (const AnswerTally& target, const AnswerTally& others, double bound, const std::string& what)
    {
        if (badOf (target) < leastBad || others.answers == 0)
            return;

        const auto share =
            static_cast<double> (target.answers) / static_cast<double> (target.answers + others.answers);
        const auto odds = logOdds (factors, badOf (target), badOf (others), share);

        if (odds < verdict.evidence)
            return;

        verdict.evidence = odds;
        verdict.isBad = verdict.isBad || odds >= bound;
        verdict.reason = std::string (kind) + " on " + what;
    };

    auto withoutWorst = sumOf (tallies.target);
    const auto worst = worstReplicasTally (tallies.replicas, badOf);
    withoutWorst.answers -= std::min (withoutWorst.answers, worst.answers);
    withoutWorst.failed -= std::min (withoutWorst.failed, worst.failed);
    withoutWorst.slow -= std::min (withoutWorst.slow, worst.slow);
    evaluate (withoutWorst, sumOf (tallies.others), boundForAllRoutes, "all routes");

    for (const auto& [route, target] : tallies.target)
        if (const auto others = tallies.others.find (route); others != tallies.others.end())
            evaluate (target, others->second, boundForRoute, route);
}

} // namespace

auto judgeVersion (const VersionTallies& tallies) -> VersionVerdict
{
    VersionVerdict verdict;
    const auto target = sumOf (tallies.target);
    verdict.answers = target.answers;
    verdict.bad = target.failed + target.slow;
    judge (verdict, tallies, failureFactors, "failed", minFailed,
           [] (const AnswerTally& tally) { return tally.failed; });
    judge (verdict, tallies, slowFactors, "slow", minSlow,
           [] (const AnswerTally& tally) { return tally.slow; });
    return verdict;
}

} // namespace snowrudder
