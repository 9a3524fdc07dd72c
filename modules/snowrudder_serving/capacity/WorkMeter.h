#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cmath>
#include <map>
#include <string>

namespace snowrudder
{

/** The times over which work is averaged: that by which replicas are ordered is not to follow each burst, while parts of limits
    have to follow callers that move to another node.
*/
inline constexpr auto workAveragingTime = Duration (4s);
inline constexpr auto demandAveragingTime = Duration (2s);

/** Measures the recent rate of this node's work, by service. */
class WorkMeter
{
public:
    /** @param time  over which rates are averaged */
    explicit WorkMeter (Duration time) : averagingTime (time) {}

    /** @param amount  in any unit, such as prompt tokens or requests */
    auto record (const std::string& service, double amount, TimePoint now) -> void
    {
        auto& entry = entries[service];
        entry.amount = decayed (entry, now) + amount;
        entry.at = now;
    }

    [[nodiscard]] auto perSecond (const std::string& service, TimePoint now) const -> double
    {
        const auto found = entries.find (service);
        return found == entries.end() ? 0.0 : decayed (found->second, now) / Seconds (averagingTime).count();
    }

    /** Calls visit (service, perSecond) for each service. */
    template <typename Visitor>
    auto forEach (TimePoint now, Visitor&& visit) const -> void
    {
        for (const auto& [service, entry] : entries)
            visit (service, decayed (entry, now) / Seconds (averagingTime).count());
    }

private:
    using Seconds = std::chrono::duration<double>;

    struct Entry
    {
        double amount = 0.0;
        TimePoint at {};
    };

    [[nodiscard]] auto decayed (const Entry& entry, TimePoint now) const -> double
    {
        return entry.amount * std::exp (-Seconds (now - entry.at) / Seconds (averagingTime));
    }

    Duration averagingTime;
    std::map<std::string, Entry, std::less<>> entries;
};

} // namespace snowrudder
