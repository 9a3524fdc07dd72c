#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cmath>
#include <map>
#include <string>

namespace snowrudder
{

/** Measures the recent rate of prompt tokens that this node sent to replicas, by service. */
class WorkMeter
{
public:
    auto record (const std::string& service, double tokens, TimePoint now) -> void
    {
        auto& entry = entries[service];
        entry.tokens = decayed (entry, now) + tokens;
        entry.at = now;
    }

    [[nodiscard]] auto tokensPerSecond (const std::string& service, TimePoint now) const -> double
    {
        const auto found = entries.find (service);
        return found == entries.end() ? 0.0 : decayed (found->second, now) / Seconds (averagingTime).count();
    }

    /** Calls visit (service, tokensPerSecond) for each service. */
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
        double tokens = 0.0;
        TimePoint at {};
    };

    static constexpr auto averagingTime = Duration (4s);

    static auto decayed (const Entry& entry, TimePoint now) -> double
    {
        return entry.tokens * std::exp (-Seconds (now - entry.at) / Seconds (averagingTime));
    }

    std::map<std::string, Entry, std::less<>> entries;
};

} // namespace snowrudder
