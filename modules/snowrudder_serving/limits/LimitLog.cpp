#include "LimitLog.h"

#include <algorithm>
#include <span>

namespace snowrudder
{

auto logLimits (LimitLog& log,
                const std::string& service,
                const LimitShare& own,
                Duration reportAge,
                const std::vector<LimitedReplica>& replicas,
                TimePoint now) -> void
{
    if (replicas.empty())
    {
        log.loggedAt.erase (service);
        return;
    }

    const auto [entry, isNew] = log.loggedAt.try_emplace (service, now);

    if (! isNew && now - entry->second < limitLogInterval)
        return;

    entry->second = now;
    LogLine ("limit_share")
        .with ("service", service)
        .with ("share", own.share)
        .with ("own_requests_per_second", own.demand.own)
        .with ("others_requests_per_second", own.demand.others)
        .with ("heard_share", own.demand.heardShare)
        .with ("report_age_milliseconds", inMilliseconds (reportAge))
        .with ("nodes", own.nodes)
        .with ("limited_replicas", replicas.size())
        .info();

    for (const auto& replica : std::span (replicas).first (std::min (replicas.size(), maxLoggedReplicas)))
        LogLine ("limited_replica")
            .with ("replica", replica.name)
            .with ("requests_per_second", replica.perSecond)
            .with ("own_requests_per_second", replica.ownRate)
            .with ("sent", replica.sent)
            .info();
}

} // namespace snowrudder
