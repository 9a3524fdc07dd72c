#include "Readiness.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** The time from the first line of a period in which a node is not ready to the second one, and between later ones. */
constexpr auto secondLinePause = Duration (1s);
constexpr auto laterLinePause = Duration (5s);

/** How many lines are written at once at most, and how long it takes until another one may be. */
constexpr auto maxLineCredit = 4.0;
constexpr auto lineCreditTime = Duration (1s);

auto indexOf (ReadinessGap gap) -> std::size_t
{
    return static_cast<std::size_t> (gap);
}

auto refillCredit (ReadinessWatch& watch, TimePoint now) -> void
{
    if (watch.creditedAt != longAgo)
    {
        const auto earned = inMilliseconds (now - watch.creditedAt) / inMilliseconds (lineCreditTime);
        watch.lineCredit = std::min (maxLineCredit, watch.lineCredit + earned);
    }

    watch.creditedAt = now;
}

auto isLineDue (const ReadinessWatch& watch, TimePoint now) -> bool
{
    if (watch.current.isEmpty())
        return false;

    return now - watch.loggedAt >= (watch.lines < 2 ? secondLinePause : laterLinePause);
}

} // namespace

auto toString (ReadinessGap gap) -> std::string_view
{
    switch (gap)
    {
        case ReadinessGap::configuration:
            return "configuration";
        case ReadinessGap::proof:
            return "proof";
        case ReadinessGap::replicas:
            return "replicas";
        case ReadinessGap::leaving:
            break;
    }

    return "leaving";
}

auto toString (const ReadinessGaps& gaps) -> std::string
{
    std::string text;

    for (const auto gap : readinessGaps)
        if (gaps.has (gap))
            text.append (text.empty() ? "" : ",").append (toString (gap));

    return text;
}

auto readinessGapsOf (const ReadinessFacts& facts) -> ReadinessGaps
{
    ReadinessGaps gaps;

    if (! facts.hasConfiguration)
        gaps.add (ReadinessGap::configuration);
    else if (! facts.isFresh)
        gaps.add (ReadinessGap::proof);

    if (! facts.hasReplicas)
        gaps.add (ReadinessGap::replicas);

    if (facts.isLeaving)
        gaps.add (ReadinessGap::leaving);

    return gaps;
}

auto recordReadiness (ReadinessWatch& watch, const ReadinessGaps& gaps, TimePoint now) -> ReadinessNews
{
    for (const auto gap : readinessGaps)
    {
        auto& since = watch.since.at (indexOf (gap));

        if (! gaps.has (gap))
            since.reset();
        else if (! since)
            since = now;
    }

    if (watch.notReadySince == longAgo || (watch.current.isEmpty() && ! gaps.isEmpty()))
    {
        watch.notReadySince = now;
        watch.lines = 0;
    }

    watch.current = gaps;
    refillCredit (watch, now);
    const auto isChanged = watch.logged != gaps;

    // A change that may not be logged yet follows as soon as it may, if it still holds.
    if ((! isChanged && ! isLineDue (watch, now)) || watch.lineCredit < 1.0)
        return ReadinessNews::none;

    watch.lineCredit -= 1.0;

    watch.logged = gaps;
    watch.loggedAt = now;
    ++watch.lines;
    return gaps.isEmpty() ? ReadinessNews::ready : ReadinessNews::notReady;
}

auto gapTime (const ReadinessWatch& watch, ReadinessGap gap, TimePoint now) -> Duration
{
    const auto& since = watch.since.at (indexOf (gap));
    return since ? now - *since : Duration::zero();
}

} // namespace snowrudder
