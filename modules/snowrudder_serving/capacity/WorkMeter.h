#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cmath>
#include <map>
#include <string>

namespace snowrudder
{

/** Prompt tokens a second that this node lately gave replicas to read, by service. */
class WorkMeter
{
public:
    auto note (const std::string& service, double tokens, TimePoint now) -> void
    {
        auto& entry = entries[service];
        entry.tokens = fading (entry, now) + tokens;
        entry.at = now;
    }

    [[nodiscard]] auto of (const std::string& service, TimePoint now) const -> double
    {
        const auto found = entries.find (service);
        return found == entries.end() ? 0.0 : fading (found->second, now) / Seconds (meanTime).count();
    }

    /** Calls visit (service, tokensPerSecond) for each service. */
    template <typename Visitor>
    auto forEach (TimePoint now, Visitor&& visit) const -> void
    {
        for (const auto& [service, entry] : entries)
            visit (service, fading (entry, now) / Seconds (meanTime).count());
    }

private:
    using Seconds = std::chrono::duration<double>;

    struct Entry
    {
        double tokens = 0.0;
        TimePoint at {};
    };

    static constexpr auto meanTime = Duration (4s);

    static auto fading (const Entry& entry, TimePoint now) -> double
    {
        return entry.tokens * std::exp (-Seconds (now - entry.at) / Seconds (meanTime));
    }

    std::map<std::string, Entry, std::less<>> entries;
};

} // namespace snowrudder
