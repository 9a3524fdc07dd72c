#include "snowrudder_limits/snowrudder_limits.h"

#include <catch2/catch.hpp>

using namespace snowrudder;

namespace
{

constexpr auto now = TimePoint (1h);

auto queued (std::uint64_t ticket, const std::string& account, double cost = 100.0) -> QueuedRequest
{
    return { ticket, account, 1, cost, now + 1h };
}

} // namespace

TEST_CASE ("an account that asks for less than its share starts first")
{
    FairQueue queue;
    queue.setWindow ({ 2, 2 }, now);
    CHECK (queue.request (queued (1, "flood"), 100, now).action == QueueAction::start);
    CHECK (queue.request (queued (2, "flood"), 100, now).action == QueueAction::start);

    for (auto ticket = std::uint64_t { 3 }; ticket < 40; ++ticket)
        CHECK (queue.request (queued (ticket, "flood"), 100, now).action == QueueAction::wait);

    CHECK (queue.request (queued (100, "other"), 100, now).action == QueueAction::wait);
    CHECK (queue.finish ("flood", 1s, now) == std::vector<std::uint64_t> { 100 });
    CHECK (queue.isOverShare ("other") == false);
}

TEST_CASE ("shares follow weights")
{
    FairQueue queue;
    queue.setWindow ({ 1, 1 }, now);
    queue.request (queued (0, "x"), 1000, now);

    for (auto ticket = std::uint64_t { 1 }; ticket <= 200; ++ticket)
    {
        auto heavy = queued (ticket * 2, "heavy");
        heavy.weight = 3;
        queue.request (heavy, 1000, now);
        queue.request (queued (ticket * 2 + 1, "light"), 1000, now);
    }

    auto heavyStarts = 0;
    std::string running = "x";

    for (auto count = 0; count < 80; ++count)
    {
        const auto started = queue.finish (running, 1s, now);
        REQUIRE (started.size() == 1);
        running = started.front() % 2 == 0 ? "heavy" : "light";
        heavyStarts += running == "heavy" ? 1 : 0;
    }

    CHECK (heavyStarts >= 58);
    CHECK (heavyStarts <= 62);
}

TEST_CASE ("an account that floods leaves the kept places to the others")
{
    FairQueue queue;
    queue.setWindow ({ 8, 6 }, now);

    // Both are known to hold a place for a second.
    for (const auto* account : { "flood", "other" })
    {
        CHECK (queue.request (queued (1, account), 100, now).action == QueueAction::start);
        queue.finish (account, 1s, now);
    }

    auto started = 0;

    for (auto ticket = std::uint64_t { 1000 }; ticket < 1400; ++ticket)
        started += queue.request (queued (ticket, "flood"), 1000, now).action == QueueAction::start ? 1 : 0;

    // It may fill the window until it is seen to flood: 4 places of 8 are its share, so 160 requests within 10 s.
    CHECK (started == 8);
    CHECK (queue.isOverShare ("flood"));

    // What it gives back goes to nobody until six places are taken; then one for one.
    CHECK (queue.finish ("flood", 1s, now).empty());
    CHECK (queue.finish ("flood", 1s, now).empty());
    CHECK (queue.finish ("flood", 1s, now).size() == 1);

    // The kept places are there at once.
    CHECK (queue.request (queued (2000, "other"), 100, now).action == QueueAction::start);
    CHECK (queue.request (queued (2001, "other"), 100, now).action == QueueAction::start);
    CHECK_FALSE (queue.isOverShare ("other"));
}

TEST_CASE ("an account that is alone has the whole window")
{
    FairQueue queue;
    queue.setWindow ({ 8, 6 }, now);

    for (auto ticket = std::uint64_t { 1 }; ticket <= 8; ++ticket)
        CHECK (queue.request (queued (ticket, "only"), 100, now).action == QueueAction::start);

    CHECK (queue.request (queued (9, "only"), 100, now).action == QueueAction::wait);
}

TEST_CASE ("a small account's short burst is not held behind a flood")
{
    FairQueue queue;
    queue.setWindow ({ 1, 1 }, now);
    queue.request (queued (0, "flood"), 1000, now);

    for (auto ticket = std::uint64_t { 1 }; ticket <= 200; ++ticket)
        queue.request (queued (ticket, "flood"), 1000, now);

    // Each of the flood's requests moves the queue's time on.
    for (auto count = 0; count < 100; ++count)
        REQUIRE (queue.finish ("flood", 10ms, now).size() == 1);

    queue.request (queued (1001, "small"), 1000, now);
    queue.request (queued (1002, "small"), 1000, now);
    CHECK (queue.finish ("flood", 10ms, now) == std::vector<std::uint64_t> { 1001 });
    CHECK (queue.finish ("small", 10ms, now) == std::vector<std::uint64_t> { 1002 });
}

TEST_CASE ("a queue refuses what it could not serve in time, and says when to come back")
{
    FairQueue queue;
    queue.setWindow ({ 1, 1 }, now);
    queue.request (queued (1, "a"), 100, now);
    auto urgent = queued (2, "a");
    urgent.deadline = now + 100ms;
    const auto answer = queue.request (urgent, 100, now);
    CHECK (answer.action == QueueAction::refuse);
    CHECK (answer.retryAfter >= 1s);
    CHECK (queue.request (queued (3, "a"), 0, now).action == QueueAction::refuse);
    CHECK (queue.request (queued (4, "a"), 100, now).action == QueueAction::wait);
    CHECK (queue.withdraw (4));
    CHECK_FALSE (queue.withdraw (4));
    CHECK (queue.finish ("a", 1s, now).empty());
}

TEST_CASE ("an account's rate and concurrency hold")
{
    AccountLimiter limiter;
    const AccountLimits limits { 2.0, 3 };
    CHECK (limiter.admit ("a", limits, 1.0, now).admitted);
    CHECK (limiter.admit ("a", limits, 1.0, now).admitted);
    const auto third = limiter.admit ("a", limits, 1.0, now);
    CHECK_FALSE (third.admitted);
    CHECK (third.retryAfter == 500ms);
    CHECK (limiter.admit ("a", limits, 1.0, now + 500ms).admitted);
    CHECK_FALSE (limiter.admit ("a", limits, 1.0, now + 10s).admitted);
    limiter.leave ("a");
    CHECK (limiter.admit ("a", limits, 1.0, now + 10s).admitted);
    CHECK (limiter.admit ("b", limits, 1.0, now).admitted);
}
