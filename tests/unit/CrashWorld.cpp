#include "CrashWorld.h"

#include "snowrudder_routing/choice/ReplicaPartition.h"

#include <algorithm>

namespace snowrudder::tests
{

namespace
{

constexpr auto tick = Duration (5ms);
constexpr auto fatalRunTime = Duration (50ms);
constexpr auto serviceTime = Duration (30ms);
constexpr auto fatalPause = Duration (80ms);
constexpr auto otherPause = Duration (20ms);
constexpr auto maxAttempts = 2U;
constexpr auto maxRepeats = 1U;
constexpr auto otherCallers = std::size_t { 8 };
constexpr auto lossRate = 0.05;

} // namespace

CrashWorld::CrashWorld (const CrashPlan& crashPlan)
    : plan (crashPlan), random (crashPlan.seed), now (TimePoint() + std::chrono::hours (1)), began (now),
      tables (crashPlan.nodes), places (crashPlan.replicas), knownCrashed (crashPlan.nodes),
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
        caller.until = now + drawUpTo (fatalPause);
        callers.push_back (caller);
    }
}

auto CrashWorld::play() -> CrashOutcome
{
    const auto sendInterval = Duration (60ms);
    auto nextSend = now;

    for (; now < began + plan.length; now += tick)
    {
        crashReplicas();
        deliverProofs();

        while (! inFlight.empty() && inFlight.begin()->first <= now)
        {
            const auto shouldForward = false;
            const auto& message = inFlight.begin()->second;
            tables[message.node].merge (message.evidence, shouldForward, now);
            inFlight.erase (inFlight.begin());
        }

        if (now >= nextSend)
        {
            sendEvidence();
            nextSend = now + sendInterval;
        }

        for (auto& caller : callers)
            step (caller);
    }

    for (std::size_t fatal = 0; fatal < plan.fatalCallers; ++fatal)
    {
        outcome.crashes.push_back (crashTimes[fatal].size());
        const auto isStopped = [&] (const CrashTable& table)
        { return table.assess (callers[fatal].request, now).verdict == CrashVerdict::stopped; };

        if (! std::ranges::all_of (tables, isStopped))
            ++outcome.notStopped;

        if (crashTimes[fatal].size() >= crashesToStop)
            outcome.lateSends += static_cast<std::size_t> (std::ranges::count_if (
                sendTimes[fatal], [late = crashTimes[fatal][crashesToStop - 1] +
                                          CrashOutcome::lateAfter] (TimePoint sent) { return sent > late; }));
    }

    outcome.nonFatalStopped = nonFatalStopped.size();
    return outcome;
}

auto CrashWorld::crashReplicas() -> void
{
    for (std::size_t number = 0; number < places.size(); ++number)
    {
        auto& place = places[number];

        if (place.replacedAt && now >= *place.replacedAt)
        {
            place = {};
            place.id = nextIncarnation++;
        }

        if (! place.crashesAt || now < *place.crashesAt)
            continue;

        place.crashesAt.reset();
        place.crashedAt = now;
        place.replacedAt = now + plan.entryLifetime;
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

auto CrashWorld::deliverProofs() -> void
{
    std::erase_if (proofs,
                   [this] (const Proof& proof)
                   {
                       if (proof.at > now)
                           return false;

                       const auto identifiesIncarnation = true;
                       tables[proof.node].recordCrash (
                           proof.request, proof.account,
                           { proof.replica, proof.crashedAt, identifiesIncarnation });
                       return true;
                   });
}

auto CrashWorld::sendEvidence() -> void
{
    for (std::size_t from = 0; from < tables.size(); ++from)
        for (const auto& evidence : tables[from].takeUnsent (24))
            for (std::size_t to = 0; to < tables.size(); ++to)
                if (to != from && ! isChosen (lossRate))
                    inFlight.emplace (now + drawUpTo (plan.maxMessageDelay), Message { to, evidence });
}

auto CrashWorld::step (Caller& caller) -> void
{
    switch (caller.phase)
    {
        case Phase::idle:
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
                tables[caller.node].recordSuccess (caller.request, now);
                finish (caller, true);
            }

            return;

        case Phase::awaitingProof:
            if (now < caller.until)
                return;

            if (caller.attempts >= maxAttempts)
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
    const auto assessment = tables[caller.node].assess (caller.request, now);
    caller.phase = shouldPause (assessment) ? Phase::pausing : Phase::waiting;
    caller.until = now + drawUpTo (maxPauseFor (assessment));
}

auto CrashWorld::send (Caller& caller) -> void
{
    const auto assessment = tables[caller.node].assess (caller.request, now);

    if (assessment.verdict == CrashVerdict::stopped)
    {
        if (! caller.isFatal)
            nonFatalStopped.emplace (caller.request.high, caller.request.low);

        tables[caller.node].recordStopped (caller.request, now);
        finish (caller, false);
        return;
    }

    if (shouldWait (assessment, { isRunning (caller), areReplicasScarce (caller.node) }))
        return;

    const auto choice = chooseReplica (caller, assessment);

    if (! choice)
        return;

    const auto place = *choice;
    auto& chosen = places[place];

    // The address refuses the connection, and the request goes on to another replica at once.
    if (chosen.crashedAt && ! plan.isAddressAccepting)
    {
        knownCrashed[caller.node].insert (chosen.id);
        return;
    }

    caller.phase = Phase::running;
    caller.place = place;
    caller.replica = chosen.id;
    ++caller.attempts;
    caller.until = now + serviceTime;

    if (chosen.crashedAt)
    {
        cut (caller, chosen);
        return;
    }

    if (! caller.isFatal)
        return;

    sendTimes[caller.index].push_back (now);
    chosen.crashesAt = std::min (chosen.crashesAt.value_or (now + fatalRunTime), now + fatalRunTime);
}

auto CrashWorld::chooseReplica (const Caller& caller, const CrashAssessment& assessment)
    -> std::optional<std::size_t>
{
    const auto isApart = assessment.crashes >= crashesToPause;
    const auto suspects = isApart ? tables[caller.node].suspectRankingHashes() : std::vector<std::uint64_t>();

    const auto rank = [&] (std::size_t place)
    {
        return assessment.verdict == CrashVerdict::clear
                   ? std::uint64_t { random() }
                   : combineHashes (rankingHash (caller.request), places[place].id);
    };
    std::optional<std::size_t> best;
    std::optional<std::size_t> other;
    auto bestRank = std::uint64_t { 0 };

    for (std::size_t place = 0; place < places.size(); ++place)
    {
        const auto& listed = places[place];

        if (knownCrashed[caller.node].contains (listed.id))
            continue;

        if (isApart && ! isInPartition (rankingHash (caller.request), suspects, listed.id))
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

auto CrashWorld::cut (Caller& caller, const Incarnation& crashed) -> void
{
    const auto expiry =
        plan.isAddressAccepting ? *crashed.crashedAt + plan.entryLifetime - now : Duration::zero();
    const auto proved = std::max (expiry, Duration::zero()) + drawUpTo (plan.maxProofDelay);
    // A request waits for the proof of a crash no longer than a probe takes.
    constexpr auto probeTime = Duration (50ms);
    proofs.push_back ({ now + proved, now, caller.node, caller.request, caller.account, crashed.id });

    if (! plan.isAddressAccepting)
        knownCrashed[caller.node].insert (crashed.id);

    caller.phase = Phase::awaitingProof;
    caller.until = now + std::min (proved, probeTime);

    // The crash stays unconfirmed while the address does not refuse connections.
    const auto identifiesIncarnation = true;

    if (proved > probeTime)
        tables[caller.node].recordUnconfirmedCrash (caller.request, caller.account,
                                                    { crashed.id, now, identifiesIncarnation }, now);
}

auto CrashWorld::finish (Caller& caller, bool isServed) -> void
{
    constexpr auto settled = Duration (2s);

    if (! caller.isFatal && ! isServed && caller.repeats < maxRepeats)
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

    caller.phase = Phase::idle;
    caller.until = now + (caller.isFatal ? fatalPause : otherPause);
}

auto CrashWorld::isRunning (const Caller& current) const -> bool
{
    return std::ranges::any_of (callers,
                                [&] (const Caller& caller)
                                {
                                    return &caller != &current && caller.phase == Phase::running &&
                                           caller.node == current.node && caller.request == current.request;
                                });
}

auto CrashWorld::areReplicasScarce (std::size_t node) const -> bool
{
    const auto left = std::ranges::count_if (places, [&] (const Incarnation& place)
                                             { return ! knownCrashed[node].contains (place.id); });
    return 2 * static_cast<std::size_t> (left) < places.size();
}

auto CrashWorld::drawUpTo (Duration most) -> Duration
{
    return Duration (std::uniform_int_distribution<Duration::rep> (0, most.count()) (random));
}

auto CrashWorld::isChosen (double share) -> bool
{
    return std::uniform_real_distribution (0.0, 1.0) (random) < share;
}

} // namespace snowrudder::tests
