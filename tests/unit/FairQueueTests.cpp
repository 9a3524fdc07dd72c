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

TEST_CASE ("a request of an account below its share starts before the queue of one that floods")
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

TEST_CASE ("accounts get slots in proportion to their weights")
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

TEST_CASE ("an account that floods can't take the reserved slots")
{
    FairQueue queue;
    queue.setWindow ({ 8, 6 }, now);

    // Requests of both accounts hold their slots for a second on average.
    for (const auto* account : { "flood", "other" })
    {
        CHECK (queue.request (queued (1, account), 100, now).action == QueueAction::start);
        queue.finish (account, 1s, now);
    }

    auto started = 0;

    for (auto ticket = std::uint64_t { 1000 }; ticket < 1400; ++ticket)
        started += queue.request (queued (ticket, "flood"), 1000, now).action == QueueAction::start ? 1 : 0;

    // It may fill the window until it counts as flooding. Its share is 4 of 8 slots, so that takes 160 requests within
    // 10 s.
    CHECK (started == 8);
    CHECK (queue.isOverShare ("flood"));

    // Slots that it releases stay free while six or more are in use; after that, one request starts per released slot.
    CHECK (queue.finish ("flood", 1s, now).empty());
    CHECK (queue.finish ("flood", 1s, now).empty());
    CHECK (queue.finish ("flood", 1s, now).size() == 1);

    // The reserved slots are available to another account immediately.
    CHECK (queue.request (queued (2000, "other"), 100, now).action == QueueAction::start);
    CHECK (queue.request (queued (2001, "other"), 100, now).action == QueueAction::start);
    CHECK_FALSE (queue.isOverShare ("other"));
}

TEST_CASE ("a single active account may use the whole window")
{
    FairQueue queue;
    queue.setWindow ({ 8, 6 }, now);

    for (auto ticket = std::uint64_t { 1 }; ticket <= 8; ++ticket)
        CHECK (queue.request (queued (ticket, "only"), 100, now).action == QueueAction::start);

    CHECK (queue.request (queued (9, "only"), 100, now).action == QueueAction::wait);
}

TEST_CASE ("a short burst of a small account is not delayed by a flood")
{
    FairQueue queue;
    queue.setWindow ({ 1, 1 }, now);
    queue.request (queued (0, "flood"), 1000, now);

    for (auto ticket = std::uint64_t { 1 }; ticket <= 200; ++ticket)
        queue.request (queued (ticket, "flood"), 1000, now);

    // Each request of the flood advances the queue's virtual time.
    for (auto count = 0; count < 100; ++count)
        REQUIRE (queue.finish ("flood", 10ms, now).size() == 1);

    queue.request (queued (1001, "small"), 1000, now);
    queue.request (queued (1002, "small"), 1000, now);
    CHECK (queue.finish ("flood", 10ms, now) == std::vector<std::uint64_t> { 1001 });
    CHECK (queue.finish ("small", 10ms, now) == std::vector<std::uint64_t> { 1002 });
}

TEST_CASE ("a queue rejects requests that it could not start in time, with an estimate of when to retry")
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

TEST_CASE ("an account's limits on rate and concurrency are enforced")
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
