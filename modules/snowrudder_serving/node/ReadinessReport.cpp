#include "ReadinessReport.h"

#include <string>

namespace snowrudder
{

namespace
{

/** A node that is not ready for longer than this is logged as a warning. */
constexpr auto expectedStartTime = Duration (1s);

/** Adds the latest call of the store for a purpose to a line. */
auto describe (LogLine& line, const std::string& purpose, const StoreCall& call, TimePoint now) -> void
{
    line.with (purpose + "_call", call.kind);

    if (call.sentAt == longAgo)
        return;

    line.with (purpose + "_outcome", call.endedAt ? toString (call.outcome) : "no_response_yet")
        .with (purpose + "_sent_milliseconds", inMilliseconds (now - call.sentAt));

    if (call.endedAt)
        line.with (purpose + "_call_milliseconds", inMilliseconds (*call.endedAt - call.sentAt));
}

} // namespace

ReadinessReport::ReadinessReport (Metrics& metrics) : ready (metrics.gauge ("snowrudder_ready"))
{
    for (const auto gap : readinessGaps)
        seconds.at (static_cast<std::size_t> (gap)) = &metrics.gauge (
            "snowrudder_not_ready_seconds", "missing=\"" + std::string (toString (gap)) + "\"");
}

auto ReadinessReport::update (const ServingState& state, TimePoint now) -> void
{
    const auto news = recordReadiness (watch, state.readinessGaps (now), now);
    publish (now);

    if (news == ReadinessNews::notReady)
        logNotReady (state, now);

    if (news == ReadinessNews::ready)
        LogLine ("ready").with ("milliseconds", inMilliseconds (now - watch.notReadySince)).info();
}

auto ReadinessReport::publish (TimePoint now) -> void
{
    ready.set (watch.current.isEmpty() ? 1 : 0);

    for (const auto gap : readinessGaps)
        seconds.at (static_cast<std::size_t> (gap))
            ->set (std::chrono::duration_cast<std::chrono::seconds> (gapTime (watch, gap, now)).count());
}

auto ReadinessReport::logNotReady (const ServingState& state, TimePoint now) const -> void
{
    LogLine line ("not_ready");
    line.with ("missing", toString (watch.current))
        .with ("since_milliseconds", inMilliseconds (now - watch.notReadySince));

    for (const auto gap : readinessGaps)
        if (watch.current.has (gap))
            line.with (std::string (toString (gap)) + "_missing_milliseconds",
                       inMilliseconds (gapTime (watch, gap, now)));

    const auto& calls = state.storeCalls;

    if (watch.current.has (ReadinessGap::configuration) || watch.current.has (ReadinessGap::proof))
    {
        describe (line, "configuration", calls.configuration, now);
        line.with ("refused_revision", state.configuration.refusedRevision)
            .with ("proof_milliseconds", proofMilliseconds (state.configuration, now));
    }

    if (watch.current.has (ReadinessGap::replicas))
    {
        describe (line, "replicas", calls.replicas, now);
        line.with ("list_pages", calls.replicaList.pages)
            .with ("list_items", calls.replicaList.items)
            .with ("list_unreadable", calls.replicaList.unreadable)
            .with ("list_whole", calls.replicaList.isWhole ? "yes" : "no")
            .with ("awaits_readers", state.storeUpdates.awaitsSnapshot ? "yes" : "no");
    }

    // Until a node knows the members, it doesn't know whom to ask.
    if (! state.storeUpdates.domainMembers)
        describe (line, "members", calls.members, now);

    // A node that starts lacks everything at first, and one that leaves is asked to.
    const auto isExpected =
        watch.current.has (ReadinessGap::leaving) || now - watch.notReadySince < expectedStartTime;
    line.write (isExpected ? LogLevel::info : LogLevel::warning);
}

} // namespace snowrudder
