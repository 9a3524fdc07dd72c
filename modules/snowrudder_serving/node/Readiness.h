#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** What keeps a node from being ready. */
enum class ReadinessGap
{
    /** It has no configuration. */
    configuration,
    /** Its configuration is not proved to be the newest, or not recently enough. */
    proof,
    /** It has seen no replica since its start. */
    replicas,
    /** It shuts down. */
    leaving
};

inline constexpr auto readinessGaps = std::array { ReadinessGap::configuration, ReadinessGap::proof,
                                                   ReadinessGap::replicas, ReadinessGap::leaving };

/** @returns the name of a gap for logs, metrics and the answer to a readiness check. */
auto toString (ReadinessGap gap) -> std::string_view;

/** All that keeps a node from being ready at a time, in the order of `readinessGaps`. */
class ReadinessGaps
{
public:
    auto add (ReadinessGap gap) -> void { present.at (static_cast<std::size_t> (gap)) = true; }
    [[nodiscard]] auto has (ReadinessGap gap) const -> bool
    {
        return present.at (static_cast<std::size_t> (gap));
    }
    [[nodiscard]] auto isEmpty() const -> bool { return *this == ReadinessGaps(); }
    auto operator== (const ReadinessGaps&) const -> bool = default;

private:
    std::array<bool, readinessGaps.size()> present {};
};

/** @returns the names of all gaps, separated by commas. */
auto toString (const ReadinessGaps& gaps) -> std::string;

/** What readiness depends on. */
struct ReadinessFacts
{
    bool hasConfiguration = false;
    /** Whether the proof of the configuration is recent enough. */
    bool isFresh = false;
    bool hasReplicas = false;
    bool isLeaving = false;
};

/** @returns what keeps a node from being ready. Nothing is proved of a configuration that is missing. */
auto readinessGapsOf (const ReadinessFacts& facts) -> ReadinessGaps;

/** What there is to log about a node's readiness. */
enum class ReadinessNews
{
    none,
    notReady,
    ready
};

/** Since when a node is not ready, and what was logged of it. */
struct ReadinessWatch
{
    /** Since when each gap has been there without a break; nothing if it is not there. */
    std::array<std::optional<TimePoint>, readinessGaps.size()> since;
    /** Since when there has been any gap; after the last one has gone, the beginning of that period. */
    TimePoint notReadySince = longAgo;
    ReadinessGaps current;
    /** What the latest line said; nothing before the first line. */
    std::optional<ReadinessGaps> logged;
    TimePoint loggedAt = longAgo;
    /** The lines of the current period in which the node is not ready. */
    std::size_t lines = 0;
    /** The lines that may be written at once. */
    double lineCredit = 4.0;
    TimePoint creditedAt = longAgo;
};

/** Records what a node lacks now. While it is not ready, that is to be logged at the start, after 1 s, then every 5 s, and when
    it changes: up to four lines at once, and one a second in the long run.

    @returns what to log
*/
auto recordReadiness (ReadinessWatch& watch, const ReadinessGaps& gaps, TimePoint now) -> ReadinessNews;

/** @returns for how long a gap has been there; zero if it is not there. */
auto gapTime (const ReadinessWatch& watch, ReadinessGap gap, TimePoint now) -> Duration;

} // namespace snowrudder
