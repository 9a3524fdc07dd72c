#include "KeyedCallSimulation.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto routerCount = std::size_t { 3 };

/** The index of a router that has the name of the first one and is started while the first one is only paused. */
constexpr auto duplicateRouter = routerCount;
constexpr auto maintenanceInterval = 1s;
constexpr auto runLength = std::chrono::minutes (5);
constexpr auto maxClockOffset = std::int64_t { 120 };

} // namespace

KeyedCallSimulation::KeyedCallSimulation (std::uint64_t seed, InjectedBug injectedBug, std::size_t maxEvents)
    : time (seed, maxEvents), bug (injectedBug), routers (routerCount + 1)
{
    times.lease = 10s;
    times.margin = 2s;

    for (auto index = std::size_t { 0 }; index < routers.size(); ++index)
    {
        routers[index].name = "r" + std::to_string (index % duplicateRouter);
        routers[index].clockOffset = std::chrono::milliseconds (time.draw (-maxClockOffset, maxClockOffset));

        if (index != duplicateRouter)
            start (routers[index]);
    }

    time.after (2s, [this] { sendCall(); });
    time.after (5s, [this] { injectFault(); });
}

auto KeyedCallSimulation::run() -> void
{
    time.run (runLength);

    for (const auto& call : calls)
    {
        const auto count = runs[call.entry.key];
        expect (count <= 1, "a request marked not repeatable runs at most once");
        expect (! call.wasReportedSuccessful || count == 1, "an answer told as good was made");
    }
}

auto KeyedCallSimulation::start (Router& router) -> void
{
    const auto index = static_cast<std::size_t> (&router - routers.data());
    const auto incarnation = router.incarnation + 1;
    const auto name = router.name;
    const auto offset = router.clockOffset;
    router = Router();
    router.name = name;
    router.clockOffset = offset;
    router.incarnation = incarnation;
    router.alive = true;
    router.table = KeyTable (times);
    logEvent ("start " + name);
    scheduleOnRouter (index, incarnation, time.drawTime (0s, maintenanceInterval),
                      [this, index, incarnation] { runMaintenance (index, incarnation); });
}

auto KeyedCallSimulation::restart (Router& router) -> void
{
    router.alive = false;
    logEvent ("kill " + router.name);
    const auto index = static_cast<std::size_t> (&router - routers.data());
    const auto incarnation = router.incarnation;

    if (index == duplicateRouter)
        return;

    time.after (time.drawTime (100ms, 20s),
                [this, index, incarnation]
                {
                    if (routers[index].incarnation == incarnation)
                        start (routers[index]);
                });
}

auto KeyedCallSimulation::scheduleOnRouter (std::size_t index,
                                            std::uint64_t incarnation,
                                            Duration delay,
                                            std::function<void()> action) -> void
{
    time.after (delay,
                [this, index, incarnation, action = std::move (action)]
                {
                    const auto& router = routers[index];

                    if (! router.alive || router.incarnation != incarnation)
                        return;

                    if (time.now() < router.pausedUntil)
                        scheduleOnRouter (index, incarnation, router.pausedUntil - time.now(), action);
                    else
                        action();
                });
}

auto KeyedCallSimulation::isKeyValueServiceUp() -> bool
{
    return time.now() >= keyValueDownUntil;
}

auto KeyedCallSimulation::runMaintenance (std::size_t index, std::uint64_t incarnation) -> void
{
    auto& router = routers[index];

    if (router.leaving)
        return;

    keyValues.expireLeases (time.now());

    if (refresh (router))
    {
        maintainLease (router);

        const auto mayClaim = router.lease != 0 && time.now() < router.leaseEnd.value_or (TimePoint()) &&
                              time.now() - router.registeredAt >= 1s;

        if (mayClaim)
            claim (router);
    }

    scheduleOnRouter (index, incarnation, time.drawTime (200ms, 2 * maintenanceInterval),
                      [this, index, incarnation] { runMaintenance (index, incarnation); });
}

auto KeyedCallSimulation::refresh (Router& router) -> bool
{
    if (! isKeyValueServiceUp() || time.chance (lostAnswers))
        return false;

    SlotView view;

    for (const auto& [key, value] : keyValues.list (slotsPrefix))
        addToView (view, key, value.value, value.version);

    router.view = std::move (view);
    adoptSlots (router);
    router.table.dropOld (time.wallNow (router.clockOffset));
    return true;
}

auto KeyedCallSimulation::adoptSlots (Router& router) -> void
{
    for (auto slot = std::uint32_t { 0 }; slot < keySlotCount; ++slot)
    {
        const auto found = router.view.slots.find (slot);
        const auto isOwn = found != router.view.slots.end() && found->second.owner == router.name &&
                           router.lease != 0 && found->second.lease == router.lease;

        if (! isOwn)
        {
            router.table.releaseSlot (slot);
            continue;
        }

        if (router.table.owns (slot))
            continue;

        const auto epoch = found->second.epoch;
        const auto inherited = router.receivedHandovers.find (slot);

        if (inherited != router.receivedHandovers.end() && inherited->second.epoch == epoch)
            router.table.inherit (slot, epoch, inherited->second.knownSince, inherited->second.entries);
        else if (bug == InjectedBug::forgetsEarlierKeys)
            router.table.inherit (slot, epoch, {}, {});
        else
            router.table.takeOver (slot, epoch, time.wallNow (router.clockOffset));

        router.receivedHandovers.erase (slot);
    }
}

auto KeyedCallSimulation::maintainLease (Router& router) -> void
{
    const auto startTime = time.now();

    if (router.lease != 0 && startTime < router.renewAt)
        return;

    if (router.lease != 0)
    {
        const auto isRenewed = keyValues.renewLease (router.lease, startTime);

        // The response may be late or lost.
        if (time.chance (lostAnswers))
            return;

        if (isRenewed)
        {
            router.renewAt = startTime + times.lease / 3;
            router.leaseEnd = startTime + times.lease - times.margin;
        }
        else if (startTime >= router.leaseEnd.value_or (TimePoint()))
        {
            router.lease = 0;
            router.leaseEnd.reset();
            adoptSlots (router);
        }

        return;
    }

    if (router.view.owners.contains (router.name) && bug != InjectedBug::registersTwice)
        return;

    const auto lease = keyValues.grantLease (times.lease, startTime);
    const auto expected =
        bug == InjectedBug::registersTwice ? keyValues.read (ownerKey (router.name)).version : 0;
    const auto written = keyValues.swap (ownerKey (router.name), expected, std::to_string (lease), lease);

    if (! written || ! written->swapped || time.chance (lostAnswers))
        return;

    router.lease = lease;
    router.leaseEnd = startTime + times.lease - times.margin;
    router.renewAt = startTime + times.lease / 3;
    router.registeredAt = startTime;
    router.view.owners[router.name] = lease;
}

auto KeyedCallSimulation::claim (Router& router) -> void
{
    for (const auto slot : slotsToClaim (router.view, router.name))
    {
        const auto found = router.view.slots.find (slot);
        SlotRecord record { router.name,
                            "127.0.0.1:1",
                            found == router.view.slots.end() ? 1 : found->second.epoch + 1,
                            router.lease,
                            0,
                            0 };
        keyValues.swap (slotKey (slot), found == router.view.slots.end() ? 0 : found->second.version,
                        toText (record), 0);
    }

    refresh (router);
}

auto KeyedCallSimulation::handOver (Router& router) -> void
{
    logEvent ("planned stop of " + router.name);
    router.leaving = true;
    auto others = router.view;
    others.owners.erase (router.name);
    const auto owned = router.table.owned();

    for (const auto& [slot, held] : owned)
    {
        const auto successorName = preferredOwner (others, slot);
        const auto successor = std::ranges::find (routers, successorName, &Router::name);
        const auto isReachable = successor != routers.end() && successor->alive && ! successor->leaving &&
                                 time.now() >= successor->pausedUntil;

        if (! isReachable || ! isKeyValueServiceUp())
        {
            router.table.setFrozen (slot, true);
            continue;
        }

        router.table.setFrozen (slot, true);
        auto entries =
            bug == InjectedBug::handsOverNoKeys ? std::vector<KeyEntry> {} : router.table.entriesOf (slot);
        successor->receivedHandovers[slot] = { held.epoch + 1, held.knownSince, std::move (entries) };
        router.table.releaseSlot (slot);

        SlotRecord record {
            successorName, "127.0.0.1:1", held.epoch + 1, others.owners[successorName], 0, 0
        };
        keyValues.swap (slotKey (slot), router.view.slots[slot].version, toText (record), 0);

        // The process may be killed after any step.
        if (time.chance (0.005))
        {
            restart (router);
            return;
        }
    }

    if (router.lease != 0 && isKeyValueServiceUp())
        keyValues.endLease (router.lease);

    router.lease = 0;
    router.leaseEnd.reset();
    restart (router);
}

auto KeyedCallSimulation::sendCall() -> void
{
    const auto isRepeat = ! calls.empty() && time.chance (0.5);
    auto index = calls.size();

    if (isRepeat)
    {
        const auto recent = std::min<std::int64_t> (static_cast<std::int64_t> (calls.size()), 40);
        index = calls.size() - 1 - static_cast<std::size_t> (time.draw (0, recent - 1));
    }
    else
    {
        Call call;
        call.entry.account = "account-" + std::to_string (time.draw (0, 2));
        const auto callerOffset = std::chrono::milliseconds (time.draw (-300, 900));
        call.entry.key = makeUuid (time.wallNow (callerOffset));

        // The random bits are drawn from the simulation's generator, so that a seed can be replayed.
        for (auto byte = std::size_t { 9 }; byte < call.entry.key.bytes.size(); ++byte)
            call.entry.key.bytes[byte] = static_cast<std::uint8_t> (time.draw (0, 255));

        call.entry.key.bytes[6] = static_cast<std::uint8_t> (0x70 | time.draw (0, 15));
        call.entry.key.bytes[7] = static_cast<std::uint8_t> (time.draw (0, 255));
        call.entry.key.bytes[8] = static_cast<std::uint8_t> (0x80 | time.draw (0, 63));
        calls.push_back (call);
    }

    const auto copies = time.chance (0.2) ? 2 : 1;

    for (auto copy = 0; copy < copies; ++copy)
    {
        const auto router = static_cast<std::size_t> (time.draw (0, duplicateRouter));
        scheduleOnRouter (router, routers[router].incarnation, time.drawTime (0ms, 20ms),
                          [this, router, index] { receiveCall (router, index, 0); });
    }

    time.after (time.drawTime (1ms, 200ms), [this] { sendCall(); });
}

auto KeyedCallSimulation::receiveCall (std::size_t index, std::size_t call, int hops) -> void
{
    auto& router = routers[index];
    auto leaseEnd = router.leaseEnd;

    if (bug == InjectedBug::actsAfterLeaseExpiry && leaseEnd)
        leaseEnd = time.now() + 1h;

    const auto decision =
        router.table.decide (calls[call].entry, time.now(), time.wallNow (router.clockOffset), leaseEnd);

    if (decision.verdict == KeyVerdict::run)
    {
        const auto incarnation = router.incarnation;

        // The call is sent shortly after the decision, so that the router may be paused in between.
        scheduleOnRouter (index, incarnation, time.drawTime (0ms, 5ms),
                          [this, index, call] { makeCall (index, call, 1, false); });
        return;
    }

    if (decision.verdict == KeyVerdict::join && decision.entry->state == KeyState::finished)
    {
        ++answered;
        ++successful;
        calls[call].wasReportedSuccessful = true;
    }

    if (decision.verdict != KeyVerdict::notOwner || hops >= 2)
        return;

    const auto* owner = liveOwner (router.view, slotOf (calls[call].entry.account, calls[call].entry.key));
    const auto next =
        owner == nullptr ? routers.end() : std::ranges::find (routers, owner->owner, &Router::name);

    if (next == routers.end())
        return;

    const auto nextIndex = static_cast<std::size_t> (next - routers.begin());
    scheduleOnRouter (nextIndex, next->incarnation, time.drawTime (1ms, 5ms),
                      [this, nextIndex, call, hops] { receiveCall (nextIndex, call, hops + 1); });
}

auto KeyedCallSimulation::makeCall (std::size_t index,
                                    std::size_t call,
                                    std::uint32_t attempt,
                                    bool mayHaveRun) -> void
{
    const auto incarnation = routers[index].incarnation;
    const auto outcomeDraw = time.draw (0, 99);
    const auto delay = time.drawTime (1ms, 300ms);
    AttemptOutcome outcome { CallStage::sent, FailureCause::cut };

    if (outcomeDraw < 8)
        outcome = { CallStage::notSent, FailureCause::connectFailed };
    else if (outcomeDraw < 14)
        outcome = { CallStage::receiving, FailureCause::refused };
    else
        ++runs[calls[call].entry.key];

    expect (runs[calls[call].entry.key] <= 1, "a request marked not repeatable runs at most once");

    if (outcomeDraw >= 24)
    {
        scheduleOnRouter (index, incarnation, delay,
                          [this, index, incarnation, call]
                          { endCall (index, incarnation, call, Ran::yes, true); });
        return;
    }

    RetryInput input;
    input.repeatable = bug == InjectedBug::retriesUnsafely;
    input.mayHaveRun = mayHaveRun;
    input.attempts = attempt;
    input.deadline = time.now() + 30s;
    input.jitter = static_cast<double> (time.draw (0, 100)) / 100.0;
    auto decision = decideAfterFailure (outcome, input, time.now());

    if (decision.shouldRetry)
    {
        const auto possiblyRan = mayHaveRun || ranAfter (outcome) != Ran::no;
        scheduleOnRouter (index, incarnation, delay + decision.pause,
                          [this, index, call, attempt, possiblyRan]
                          { makeCall (index, call, attempt + 1, possiblyRan); });
        return;
    }

    if (bug == InjectedBug::reportsNotRunFalsely)
        decision.ran = Ran::no;

    scheduleOnRouter (index, incarnation, delay,
                      [this, index, incarnation, call, ran = decision.ran]
                      { endCall (index, incarnation, call, ran, false); });
}

auto KeyedCallSimulation::endCall (
    std::size_t index, std::uint64_t, std::size_t call, Ran ran, bool isAnswered) -> void
{
    const auto& entry = calls[call].entry;
    ++answered;
    successful += isAnswered ? 1 : 0;
    calls[call].wasReportedSuccessful = calls[call].wasReportedSuccessful || isAnswered;
    expect (ran != Ran::no || runs[entry.key] == 0, "\"not run\" is true");

    if (bug == InjectedBug::forgetsUncertainKeys && ! isAnswered)
        ran = Ran::no;

    routers[index].table.recordEnd (entry.account, entry.key, ran, isAnswered);
}

auto KeyedCallSimulation::injectFault() -> void
{
    auto& router = routers[static_cast<std::size_t> (time.draw (0, duplicateRouter))];

    switch (time.draw (0, 7))
    {
        case 4:
            if (routers[duplicateRouter].alive)
                break;
            routers[0].pausedUntil = time.now() + time.drawTime (1s, 25s);
            logEvent ("pause r0 and start another r0");
            start (routers[duplicateRouter]);
            break;
        case 0:
            if (router.alive && time.now() >= router.pausedUntil)
                restart (router);
            break;
        case 1:
            router.pausedUntil = time.now() + time.drawTime (1s, 25s);
            logEvent ("pause " + router.name);
            break;
        case 2:
            keyValueDownUntil = time.now() + time.drawTime (1s, 40s);
            logEvent ("key-value service down");
            break;
        case 3:
            lostAnswers = time.chance (0.5) ? 0.5 : 0.0;
            logEvent ("lost answers " + std::to_string (lostAnswers));
            break;
        default:
            if (router.alive && ! router.leaving && time.now() >= router.pausedUntil)
                handOver (router);
            break;
    }

    // The next fault often follows at once, so that faults overlap.
    time.after (time.chance (0.4) ? time.drawTime (0ms, 500ms) : time.drawTime (1s, 15s),
                [this] { injectFault(); });
}

auto KeyedCallSimulation::logEvent (std::string line) -> void
{
    lines.push_back (
        std::to_string (
            std::chrono::duration_cast<std::chrono::milliseconds> (time.now().time_since_epoch()).count()) +
        " ms: " + std::move (line));
}

} // namespace snowrudder
