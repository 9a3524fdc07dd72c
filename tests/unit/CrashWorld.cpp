#include "CrashWorld.h"

#include "snowrudder_routing/choice/ReplicaPartition.h"

#include <algorithm>

namespace snowrudder::tests
{

namespace
{

constexpr auto tick = Duration (5ms);
constexpr auto fatalTime = Duration (50ms);
constexpr auto serviceTime = Duration (30ms);
constexpr auto fatalPause = Duration (80ms);
constexpr auto otherPause = Duration (20ms);
constexpr auto mostAttempts = 2U;
constexpr auto mostRepeats = 1U;
constexpr auto otherCallers = std::size_t { 8 };
constexpr auto lostShare = 0.05;

} // namespace

CrashWorld::CrashWorld (const CrashPlan& crashPlan)
    : plan (crashPlan), random (crashPlan.seed), now (TimePoint() + std::chrono::hours (1)), began (now),
      tables (crashPlan.nodes), places (crashPlan.replicas), knownDead (crashPlan.nodes),
      crashTimes (crashPlan.fatalCallers), sendTimes (crashPlan.fatalCallers)
{
    for (auto& place : places)
        place.id = nextIncarnation++;

    for (std::size_t index = 0; index < plan.fatalCallers + otherCallers; ++index)
    {
        Caller caller;
        caller.index = index;
        caller.isFatal = index < plan.fatalCallers;
        caller.repeatsOneBody = ! caller.isFatal && index % 2 == 0;
        caller.account = ! caller.isFatal    ? "others"
                         : plan.isOneAccount ? "one"
                                             : "one of " + std::to_string (index);
        caller.until = now + draw (fatalPause);
        callers.push_back (caller);
    }
}

auto CrashWorld::play() -> CrashOutcome
{
    const auto tellInterval = Duration (60ms);
    auto nextTold = now;

    for (; now < began + plan.length; now += tick)
    {
        endReplicas();
        tellProofs();

        while (! onTheWay.empty() && onTheWay.begin()->first <= now)
        {
            const auto isToTell = false;
            const auto& message = onTheWay.begin()->second;
            tables[message.node].hear (message.evidence, isToTell, now);
            onTheWay.erase (onTheWay.begin());
        }

        if (now >= nextTold)
        {
            exchange();
            nextTold = now + tellInterval;
        }

        for (auto& caller : callers)
            step (caller);
    }

    for (std::size_t fatal = 0; fatal < plan.fatalCallers; ++fatal)
    {
        outcome.crashes.push_back (crashTimes[fatal].size());
        const auto isStopped = [&] (const CrashTable& table)
        { return table.judge (callers[fatal].request, now).verdict == CrashVerdict::stopped; };

        if (! std::ranges::all_of (tables, isStopped))
            ++outcome.notStopped;

        if (crashTimes[fatal].size() >= crashesToStop)
            outcome.lateSends += static_cast<std::size_t> (std::ranges::count_if (
                sendTimes[fatal], [late = crashTimes[fatal][crashesToStop - 1] +
                                          CrashOutcome::lateAfter] (TimePoint sent) { return sent > late; }));
    }

    outcome.innocentsStopped = innocentsStopped.size();
    return outcome;
}

auto CrashWorld::endReplicas() -> void
{
    for (std::size_t number = 0; number < places.size(); ++number)
    {
        auto& place = places[number];

        if (place.back && now >= *place.back)
        {
            place = {};
            place.id = nextIncarnation++;
        }

        if (! place.ends || now < *place.ends)
            continue;

        place.ends.reset();
        place.ended = now;
        place.back = now + plan.entryStays;
        firstCrash = firstCrash.value_or (now);

        for (auto& caller : callers)
            if (caller.phase == Phase::running && caller.place == number && caller.replica == place.id)
            {
                if (caller.isFatal)
                    crashTimes[caller.index].push_back (now);

                cut (caller, place);
            }
    }
}

auto CrashWorld::tellProofs() -> void
{
    std::erase_if (proofs,
                   [this] (const Proof& proof)
                   {
                       if (proof.at > now)
                           return false;

                       const auto namesOneStart = true;
                       tables[proof.node].noteCrash (proof.request, proof.account,
                                                     { proof.replica, proof.ended, namesOneStart });
                       return true;
                   });
}

auto CrashWorld::exchange() -> void
{
    for (std::size_t from = 0; from < tables.size(); ++from)
        for (const auto& evidence : tables[from].takeToTell (24))
            for (std::size_t to = 0; to < tables.size(); ++to)
                if (to != from && ! isDrawn (lostShare))
                    onTheWay.emplace (now + draw (plan.longestWay), Message { to, evidence });
}

auto CrashWorld::step (Caller& caller) -> void
{
    switch (caller.phase)
    {
        case Phase::resting:
            if (now < caller.until)
                return;

            caller.node = random() % plan.nodes;
            caller.attempts = 0;
            caller.sentAt = now;
            caller.request =
                fingerprintOf ("secret", { caller.account, "POST", "one.example", "/x",
                                           caller.isFatal          ? "fatal " + std::to_string (caller.index)
                                           : caller.repeatsOneBody ? std::string ("poll")
                                                                   : "body " + std::to_string (bodies++) });
            beginAttempt (caller);
            return;

        case Phase::pausing:
            if (now >= caller.until)
                caller.phase = Phase::waiting;

            return;

        case Phase::waiting:
            send (caller);
            return;

        case Phase::running:
            if (! caller.isFatal && now >= caller.until)
            {
                tables[caller.node].noteSuccess (caller.request, now);
                finish (caller, true);
            }

            return;

        case Phase::proving:
            if (now < caller.until)
                return;

            if (caller.attempts >= mostAttempts)
            {
                finish (caller, false);
                return;
            }

            beginAttempt (caller);
            return;
    }
}

auto CrashWorld::beginAttempt (Caller& caller) -> void
{
    const auto judgement = tables[caller.node].judge (caller.request, now);
    caller.phase = mustPause (judgement) ? Phase::pausing : Phase::waiting;
    caller.until = now + draw (pauseBound (judgement));
}

auto CrashWorld::send (Caller& caller) -> void
{
    const auto judgement = tables[caller.node].judge (caller.request, now);

    if (judgement.verdict == CrashVerdict::stopped)
    {
        if (! caller.isFatal)
            innocentsStopped.emplace (caller.request.high, caller.request.low);

        tables[caller.node].noteStopped (caller.request, now);
        finish (caller, false);
        return;
    }

    if (mustWait (judgement, { isRunning (caller), isScarce (caller.node) }))
        return;

    const auto choice = choosePlace (caller, judgement);

    if (! choice)
        return;

    const auto place = *choice;
    auto& chosen = places[place];

    // It refuses, and the request goes on at once.
    if (chosen.ended && ! plan.isAddressAccepting)
    {
        knownDead[caller.node].insert (chosen.id);
        return;
    }

    caller.phase = Phase::running;
    caller.place = place;
    caller.replica = chosen.id;
    ++caller.attempts;
    caller.until = now + serviceTime;

    if (chosen.ended)
    {
        cut (caller, chosen);
        return;
    }

    if (! caller.isFatal)
        return;

    sendTimes[caller.index].push_back (now);
    chosen.ends = std::min (chosen.ends.value_or (now + fatalTime), now + fatalTime);
}

auto CrashWorld::choosePlace (const Caller& caller, const CrashJudgement& judgement)
    -> std::optional<std::size_t>
{
    const auto isApart = judgement.crashes >= crashesToPause;
    const auto suspects = isApart ? tables[caller.node].suspectAnchors() : std::vector<std::uint64_t>();

    const auto rank = [&] (std::size_t place)
    {
        return judgement.verdict == CrashVerdict::clear
                   ? std::uint64_t { random() }
                   : combineHashes (anchorOf (caller.request), places[place].id);
    };
    std::optional<std::size_t> best;
    std::optional<std::size_t> other;
    auto bestRank = std::uint64_t { 0 };

    for (std::size_t place = 0; place < places.size(); ++place)
    {
        const auto& listed = places[place];

        if (knownDead[caller.node].contains (listed.id))
            continue;

        if (isApart && ! isInPartition (anchorOf (caller.request), suspects, listed.id))
        {
            if (! other || rank (place) > rank (*other))
                other = place;

            continue;
        }

        const auto own = rank (place);

        if (! best || own > bestRank)
        {
            best = place;
            bestRank = own;
        }
    }

    return best ? best : other ? other : random() % places.size();
}

auto CrashWorld::cut (Caller& caller, const Incarnation& ended) -> void
{
    const auto lapse = plan.isAddressAccepting ? *ended.ended + plan.entryStays - now : Duration::zero();
    const auto proved = std::max (lapse, Duration::zero()) + draw (plan.longestProof);
    // A request waits for the proof of its replica's end no longer than for a probe.
    constexpr auto probeTime = Duration (50ms);
    proofs.push_back ({ now + proved, now, caller.node, caller.request, caller.account, ended.id });

    if (! plan.isAddressAccepting)
        knownDead[caller.node].insert (ended.id);

    caller.phase = Phase::proving;
    caller.until = now + std::min (proved, probeTime);

    // An address that does not refuse at once leaves the end open.
    const auto namesOneStart = true;

    if (proved > probeTime)
        tables[caller.node].noteOpenEnd (caller.request, caller.account, { ended.id, now, namesOneStart },
                                         now);
}

auto CrashWorld::finish (Caller& caller, bool isServed) -> void
{
    constexpr auto settled = Duration (2s);

    if (! caller.isFatal && ! isServed && caller.repeats < mostRepeats)
    {
        ++caller.repeats;
        caller.node = random() % plan.nodes;
        caller.attempts = 0;
        caller.phase = Phase::waiting;
        return;
    }

    caller.repeats = 0;

    if (! caller.isFatal && firstCrash && caller.sentAt >= *firstCrash + settled)
    {
        ++outcome.othersSent;
        outcome.othersServed += isServed ? 1 : 0;
    }

    caller.phase = Phase::resting;
    caller.until = now + (caller.isFatal ? fatalPause : otherPause);
}

auto CrashWorld::isRunning (const Caller& asking) const -> bool
{
    return std::ranges::any_of (callers,
                                [&] (const Caller& caller)
                                {
                                    return &caller != &asking && caller.phase == Phase::running &&
                                           caller.node == asking.node && caller.request == asking.request;
                                });
}

auto CrashWorld::isScarce (std::size_t node) const -> bool
{
    const auto left = std::ranges::count_if (places, [&] (const Incarnation& place)
                                             { return ! knownDead[node].contains (place.id); });
    return 2 * static_cast<std::size_t> (left) < places.size();
}

auto CrashWorld::draw (Duration most) -> Duration
{
    return Duration (std::uniform_int_distribution<Duration::rep> (0, most.count()) (random));
}

auto CrashWorld::isDrawn (double share) -> bool
{
    return std::uniform_real_distribution (0.0, 1.0) (random) < share;
}

} // namespace snowrudder::tests
