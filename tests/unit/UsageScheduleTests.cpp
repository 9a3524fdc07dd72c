#include "ServingFixtures.h"

#include "snowrudder_serving/duties/UsageSchedule.h"
#include "snowrudder_serving/members/DatagramCodec.h"

#include <catch2/catch.hpp>

using namespace snowrudder;

namespace
{

constexpr auto windowLength = Duration (5s);

/** In the middle of window 100. */
constexpr auto middle = windowLength * 100 + 2s;

auto noticeOf (std::uint64_t window, std::uint64_t count) -> UsageNotice
{
    UsageNotice notice;
    notice.node = "other";
    notice.incarnation = 1;
    notice.counts[window]["alpha"] = count;
    return notice;
}

auto noWindows() -> std::vector<std::uint64_t>
{
    return {};
}

} // namespace

TEST_CASE ("a holder that started after a window's end reports it with the counts of the others")
{
    // Nodes are restarted in turn, including the holder of the duties. A window is reported two seconds after its end,
    // so the node that takes the duties over in that time may have started after the end itself. Guards against leaving
    // out all windows from before its own start: no node reported them, and a check failed with "usage of window
    // 356670888 didn't come". The process test that restarts the nodes in turn reproduces it.
    const UsageWindows own (windowLength);
    UsageCollector others ("hall-a");
    others.record (noticeOf (99, 7));
    UsageSchedule schedule;
    schedule.started = middle;

    CHECK (windowsDue (schedule, own, others, middle + 3s) == std::vector<std::uint64_t> { 99 });

    // An empty window after one with counts is due as well.
    others.record (noticeOf (98, 3));
    const std::vector<std::uint64_t> both { 98, 99 };
    CHECK (windowsDue (schedule, own, others, middle + 3s) == both);

    schedule.reported = { 98, 99 };
    CHECK (windowsDue (schedule, own, others, middle + 3s) == noWindows());
}

TEST_CASE ("a holder that has just started waits until it has received the counts of the others")
{
    const UsageWindows own (windowLength);
    UsageCollector others ("hall-a");
    others.record (noticeOf (99, 7));
    UsageSchedule schedule;
    schedule.started = middle;
    CHECK (windowsDue (schedule, own, others, middle + 1s) == noWindows());
}

TEST_CASE ("windows from before the first start of all nodes are not reported, empty ones after it are")
{
    const UsageWindows own (windowLength);
    const UsageCollector others ("hall-a");
    UsageSchedule schedule;
    schedule.started = middle;
    CHECK (windowsDue (schedule, own, others, middle + 3s) == noWindows());

    const auto later = windowLength * 102 + 3s;
    CHECK (windowsDue (schedule, own, others, later) == std::vector<std::uint64_t> { 100, 101 });
}

TEST_CASE ("a holder that started after the end of a window without requests reports it as well")
{
    // A holder stops before it has reported the last windows, in which there were no requests, and its successor starts
    // after their end. Guards against beginning at the first window with a known count, which left such windows
    // unreported: windows ..759 and ..760 were missing where all requests before them fell into ..758.
    UsageNotice idle;
    idle.node = "other";
    idle.incarnation = 1;
    idle.counts[98];
    idle.counts[99];

    const auto message = decodeMessage (encodeMessage (idle, "secret"), "secret");
    REQUIRE (message);
    UsageCollector others ("hall-a");
    others.record (std::get<UsageNotice> (*message));

    const UsageWindows own (windowLength);
    UsageSchedule schedule;
    schedule.started = middle;
    CHECK (windowsDue (schedule, own, others, middle + 3s) == std::vector<std::uint64_t> { 98, 99 });
}

TEST_CASE ("a holder that received no counts of earlier windows uses the windows persisted in the store")
{
    // The predecessor had persisted window 98. It stopped before it listed this node, and sent it no counts.
    const UsageWindows own (windowLength);
    const UsageCollector others ("hall-a");
    UsageSchedule schedule;
    schedule.started = middle;
    schedule.lastPersistedWindow = 98;
    CHECK (windowsDue (schedule, own, others, middle + 3s) == std::vector<std::uint64_t> { 98, 99 });
}

TEST_CASE ("a window is due from two to twenty seconds after its end")
{
    const UsageWindows own (windowLength);
    const UsageCollector others ("hall-a");
    const UsageSchedule schedule;
    const auto end = own.endOf (99);
    const auto isDue = [&] (Duration now)
    {
        const auto due = windowsDue (schedule, own, others, now);
        return std::ranges::count (due, 99U) == 1;
    };
    CHECK_FALSE (isDue (end + 1900ms));
    CHECK (isDue (end + 2s));
    CHECK (isDue (end + 19s));
    CHECK_FALSE (isDue (end + 25s));
}
