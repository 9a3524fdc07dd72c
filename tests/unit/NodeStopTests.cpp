#include "ServingFixtures.h"

#include "snowrudder_requests/retry/RetryDecision.h"
#include "snowrudder_serving/attempt/AttemptErrors.h"
#include "snowrudder_serving/node/NodeStop.h"
#include "snowrudder_serving/queue/ServiceQueues.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

const auto stop = stopTimes (start, 6s);

auto verdict (bool isRepeatable, Duration arrived, Duration timeLimit) -> StopVerdict
{
    const auto now = start + arrived;
    return verdictAtStop ({ isRepeatable, now + timeLimit, 600ms }, stop, now);
}

auto problemAtStop (bool mayHaveRun, bool isRepeatable) -> Problem
{
    LastFailure last;
    last.outcome = { mayHaveRun ? CallStage::sent : CallStage::notSent, FailureCause::nodeLeaving };
    last.mayHaveRun = mayHaveRun;
    last.isRepeatable = isRepeatable;
    last.isLate = true;
    last.decision = decideAfterFailure (last.outcome, {}, start);
    return problemAfterLast (last);
}

} // namespace

TEST_CASE ("A stop gives new requests, last answers and last bytes their times, all within the grace")
{
    CHECK (stop.drainStart == start + 2300ms);
    CHECK (stop.lastAnswer == start + 5300ms);
    CHECK (stop.lastAnswer < stop.lastByte);
    CHECK (stop.lastByte < stop.end);
    CHECK (stop.end < start + 6s);
}

TEST_CASE (
    "At a stopping node, a request that may run once is sent only if its deadline comes before the end")
{
    const auto isRepeatable = false;
    CHECK (verdict (isRepeatable, 0s, 5s) == StopVerdict::served);
    CHECK (verdict (isRepeatable, 300ms, 5s) == StopVerdict::served);
    CHECK (verdict (isRepeatable, 301ms, 5s) == StopVerdict::refused);
    CHECK (verdict (isRepeatable, 2200ms, 3s) == StopVerdict::served);
    CHECK (verdict (isRepeatable, 2200ms, 30s) == StopVerdict::refused);
}

TEST_CASE ("At a stopping node, a request that may run again gets the time that is left, if that is enough")
{
    const auto isRepeatable = true;
    CHECK (verdict (isRepeatable, 300ms, 5s) == StopVerdict::served);
    CHECK (verdict (isRepeatable, 2200ms, 5s) == StopVerdict::cutShort);
    CHECK (verdict (isRepeatable, 4700ms, 5s) == StopVerdict::cutShort);
    CHECK (verdict (isRepeatable, 4701ms, 5s) == StopVerdict::refused);
    CHECK (verdict (isRepeatable, 5300ms, 5s) == StopVerdict::refused);
}

TEST_CASE ("At a stopping node, a request without any expected time isn't begun at the end")
{
    const auto isRepeatable = true;
    CHECK (verdictAtStop ({ isRepeatable, stop.end, 0s }, stop, stop.lastAnswer - 1ms) ==
           StopVerdict::cutShort);
    CHECK (verdictAtStop ({ isRepeatable, stop.end, 0s }, stop, stop.lastAnswer) == StopVerdict::refused);
}

TEST_CASE ("Answers that have begun go on for longer than those that are awaited, and not to the end")
{
    CHECK_FALSE (mustEnd (stop, false, stop.lastAnswer - 1ms));
    CHECK (mustEnd (stop, false, stop.lastAnswer));
    CHECK_FALSE (mustEnd (stop, true, stop.lastByte - 1ms));
    CHECK (mustEnd (stop, true, stop.lastByte));
}

TEST_CASE ("What a stopping node ends is called not run only if no replica can have run it")
{
    for (const auto isRepeatable : { false, true })
    {
        const auto unsent = problemAtStop (false, isRepeatable);
        CHECK (unsent.kind == ErrorKind::nodeLeaving);
        CHECK (unsent.ran == Ran::no);
        CHECK (unsent.retryAfter == Duration (10ms));

        const auto sent = problemAtStop (true, isRepeatable);
        CHECK (sent.kind == ErrorKind::deadlineExceeded);
        CHECK (sent.ran == Ran::unknown);
    }
}

TEST_CASE ("What a stopping node ends says nothing of the replica, and is not retried there")
{
    const AttemptOutcome outcome { CallStage::sent, FailureCause::nodeLeaving };
    RetryInput input;
    input.repeatable = true;
    input.deadline = start + 10s;
    CHECK_FALSE (decideAfterFailure (outcome, input, start).shouldRetry);
    CHECK (attemptHealthOf (outcome) == AttemptHealth::neutral);
    CHECK_FALSE (mayIndicateCrash (outcome));
}

TEST_CASE ("A request that is woken in the queue leaves it without a permit")
{
    asio::io_context loop;
    ServiceQueues queues;
    const auto now = BootClock::now();
    queues.setCapacity ("model", { 1.0, 1.0 }, now);
    const auto wake = std::make_shared<Signal> (loop.get_executor());
    std::vector<bool> granted;
    QueuedRequest wanted;
    wanted.deadline = now + 60s;

    for (auto tries = 0; tries < 10 && queues.waiting ("model") == 0; ++tries)
    {
        loop.restart();
        asio::co_spawn (loop, queues.acquire ("model", wanted, 1, wake),
                        [&granted] (const std::exception_ptr&, const ServiceQueues::PermitOutcome& outcome)
                        { granted.push_back (outcome.granted); });
        loop.poll();
    }

    REQUIRE (queues.waiting ("model") == 1);
    const auto before = granted;
    wake->notify();
    loop.run_for (1s);
    REQUIRE (granted.size() == before.size() + 1);
    CHECK_FALSE (granted.back());
    CHECK (queues.waiting ("model") == 0);
}

TEST_CASE ("Requests are told of a stop while they are open")
{
    OpenRequests requests;
    auto told = 0;

    {
        const ListedRequest one (requests, [&told] { ++told; });
        const ListedRequest other (requests, [&told] { ++told; });

        for (const auto& followStop : requests)
            followStop();
    }

    CHECK (told == 2);
    CHECK (requests.empty());
}
