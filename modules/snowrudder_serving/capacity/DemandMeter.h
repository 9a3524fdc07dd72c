#pragma once

#include "WorkMeter.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace snowrudder
{

/** Measures this node's recent rate of requests, by service. The rate is an average over a long time, by which the parts of
    limits don't follow chance, unless that over a short time differs by more than chance: then callers have moved.
*/
class DemandMeter
{
public:
    auto record (const std::string& service, TimePoint now) -> void
    {
        auto& entry = entries.try_emplace (service, now).first->second;
        entry.shortTerm = decayed (entry.shortTerm, entry.at, demandAveragingTime, now) + 1.0;
        entry.longTerm = decayed (entry.longTerm, entry.at, longTime, now) + 1.0;
        entry.at = now;
    }

    [[nodiscard]] auto perSecond (const std::string& service, TimePoint now) const -> double
    {
        const auto found = entries.find (service);
        return found == entries.end() ? 0.0 : perSecond (found->second, now);
    }

    /** Calls visit (service, perSecond) for each service. */
    template <typename Visitor>
    auto forEach (TimePoint now, Visitor&& visit) const -> void
    {
        for (const auto& [service, entry] : entries)
            visit (service, perSecond (entry, now));
    }

private:
    using Seconds = std::chrono::duration<double>;

    struct Entry
    {
        explicit Entry (TimePoint now) : first (now), at (now) {}

        TimePoint first;
        TimePoint at;
        /** Requests, each of which counts less as it ages. */
        double shortTerm = 0.0;
        double longTerm = 0.0;
    };

    static constexpr auto longTime = Duration (30s);
    /** Requests are averaged over no less than this since the first one. */
    static constexpr auto minAveragedTime = Duration (1s);
    /** Deviations of a Poisson process that count as chance. */
    static constexpr auto maxDeviations = 3.0;

    static auto decay (Duration time, Duration averagingTime) -> double
    {
        return std::exp (-Seconds (time) / Seconds (averagingTime));
    }

    static auto decayed (double amount, TimePoint at, Duration averagingTime, TimePoint now) -> double
    {
        return amount * decay (now - at, averagingTime);
    }

    /** @returns the average since the first request, if that is less than the averaging time ago. */
    static auto average (double amount, const Entry& entry, Duration averagingTime, TimePoint now) -> double
    {
        const auto averaged = 1.0 - decay (std::max (now - entry.first, minAveragedTime), averagingTime);
        return decayed (amount, entry.at, averagingTime, now) / (averaged * Seconds (averagingTime).count());
    }

    static auto perSecond (const Entry& entry, TimePoint now) -> double
    {
        const auto fast = average (entry.shortTerm, entry, demandAveragingTime, now);
        const auto slow = average (entry.longTerm, entry, longTime, now);
        // The variance of an exponential average of a Poisson process.
        const auto deviation =
            std::sqrt (std::max (fast, slow) / (2.0 * Seconds (demandAveragingTime).count()));
        return std::abs (fast - slow) > maxDeviations * deviation ? fast : slow;
    }

    std::map<std::string, Entry, std::less<>> entries;
};

} // namespace snowrudder
