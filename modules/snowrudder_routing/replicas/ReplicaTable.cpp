#include "ReplicaTable.h"

#include "../prefix/PromptBlocks.h"

#include <algorithm>
#include <set>
#include <span>

namespace snowrudder
{

namespace
{

/** The least delay after which callers return while all replicas leave: others should have started, or may at any time. */
constexpr auto minStartDelay = Duration (1s);

/** The time over which callers are spread that return at the end of a rest. */
constexpr auto returnSpread = Duration (300ms);

/** The replica's name, its VM, its address and its start time identify one incarnation. */
auto isSameIncarnation (const ReplicaInfo& first, const ReplicaInfo& second) -> bool
{
    return first.name == second.name && first.vm == second.vm && first.endpoint == second.endpoint &&
           first.born == second.born;
}

/** @returns whether a replica is known to have started after another one. The order of replicas that were already
    listed when this router started is only known where they state their start times.
*/
auto startedLater (const ReplicaState& replica, const ReplicaState& other) -> bool
{
    if (replica.info.born != 0 && other.info.born != 0 && replica.info.born != other.info.born)
        return replica.info.born > other.info.born;

    return replica.firstSeen > other.firstSeen;
}

/** Applies a replica's entry in a list. */
auto applyEntry (ReplicaState& replica, const ListedReplica& entry, TimePoint now) -> void
{
    replica.info = entry.info;

    if (entry.leaving && ! replica.leavingSince)
        replica.leavingSince = now;
}

/** @param sentSince  number of requests that this router has sent since the replica made the report */
auto applyReport (ReplicaState& replica,
                  const LoadReport& report,
                  TimePoint reportedAt,
                  std::uint32_t sentSince) -> void
{
    if (replica.endedAt && reportedAt > *replica.endedAt + ReplicaState::forwardingDelay)
        replica.endedAt.reset();

    if (report.slots)
        replica.statedSlots = report.slots;

    replica.report = report;
    replica.reportTime = reportedAt;
    replica.inFlightAtReport = replica.inFlight - std::min (replica.inFlight, sentSince);
    replica.ownPendingAtReport = replica.ownPendingTokens;
    std::erase_if (replica.announcementTimes, [reportedAt] (TimePoint time) { return time <= reportedAt; });
}

auto updateRestricted (ReplicaState& replica) -> void
{
    replica.isRestricted = replica.isReplaced || restrictsRequests (replica.stated);
}

} // namespace

auto ReplicaTable::update (const std::vector<ListedReplica>& listed, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    const auto isFirstList = services.empty();
    std::map<std::string, std::vector<ReplicaState>, std::less<>> updated;
    std::set<ReplicaNumber> kept;

    for (const auto& entry : listed)
    {
        ReplicaState* known = nullptr;

        forEachOfHash (replicaHash (entry.info.name),
                       [&] (ReplicaState& replica)
                       {
                           if (replica.info.service == entry.info.service &&
                               isSameIncarnation (replica.info, entry.info))
                               known = &replica;
                       });

        auto state = known != nullptr ? std::move (*known) : makeState (entry, isFirstList, now);
        applyEntry (state, entry, now);
        kept.insert (state.number);
        updated[entry.info.service].push_back (std::move (state));
    }

    for (const auto& [service, replicas] : services)
        for (const auto& replica : replicas)
            if (! kept.contains (replica.number))
                keepStatements (replica, now);

    services = std::move (updated);
    rebuildIndexes();
    markReplaced();
}

auto ReplicaTable::applyChanges (const std::vector<ListedReplica>& changed,
                                 const std::vector<std::string>& removed,
                                 TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    const auto isFirstList = services.empty();
    std::set<ReplicaNumber> ended;
    std::vector<ReplicaState> added;

    const auto forEachNamed = [this] (const std::string& name, auto&& visit)
    {
        forEachOfHash (replicaHash (name),
                       [&] (ReplicaState& replica)
                       {
                           if (replica.info.name == name)
                               visit (replica);
                       });
    };

    for (const auto& name : removed)
        forEachNamed (name, [&] (ReplicaState& replica) { ended.insert (replica.number); });

    for (const auto& entry : changed)
    {
        auto isKnown = false;

        forEachNamed (entry.info.name,
                      [&] (ReplicaState& replica)
                      {
                          isKnown = replica.info.service == entry.info.service &&
                                    isSameIncarnation (replica.info, entry.info);

                          if (isKnown)
                              applyEntry (replica, entry, now);
                          else
                              ended.insert (replica.number);
                      });

        if (isKnown)
            continue;

        added.push_back (makeState (entry, isFirstList, now));
        applyEntry (added.back(), entry, now);
    }

    for (auto& [service, replicas] : services)
        std::erase_if (replicas,
                       [&] (const auto& replica)
                       {
                           if (! ended.contains (replica.number))
                               return false;

                           keepStatements (replica, now);
                           return true;
                       });

    for (auto& state : added)
        services[state.info.service].push_back (std::move (state));

    std::erase_if (services, [] (const auto& service) { return service.second.empty(); });
    rebuildIndexes();
    markReplaced();
}

auto ReplicaTable::take (const std::string& service,
                         const ChoiceInput& input,
                         const ChoiceWeights& weights,
                         TimePoint now) -> std::optional<TakenReplica>
{
    return takeWith (
        service, input,
        [&weights, now] (std::span<const ReplicaState> replicas, const ChoiceInput& matched)
        { return chooseReplica (replicas, matched, weights, now); },
        now);
}

auto ReplicaTable::takeWith (const std::string& service,
                             const ChoiceInput& input,
                             const ChoiceFunction& choiceFunction,
                             TimePoint now) -> std::optional<TakenReplica>
{
    const std::lock_guard lock (mutex);
    const auto found = services.find (service);

    if (found == services.end())
        return {};

    auto& replicas = found->second;
    const auto matches = prefixes.match (input.blocks);
    auto matchedInput = input;
    matchedInput.matches = matches;

    auto choice = choiceFunction (replicas, matchedInput);

    if (! choice)
        return {};

    const auto& winner = choice->candidates.front();
    auto& replica = replicas[winner.index];

    requireInvariant (availabilityOf (replica, now) == ReplicaAvailability::usable,
                      "a leaving upstream gets nothing new");

    if (replica.stated.rateLimit)
        usePermission (*replica.stated.rateLimit, now);

    const auto isFirstAfterRest = recordReturn (replica.stated.rest, now);
    replica.inFlight += 1;
    replica.recentSendTimes.push_back (now);

    if (replica.recentSendTimes.size() > ReplicaState::keptSendTimes)
        replica.recentSendTimes.erase (replica.recentSendTimes.begin());

    replica.ownPendingTokens += winner.uncachedTokens;
    replica.isProbing = replica.openUntil.has_value();
    prefixes.record (input.blocks, replica.number);

    TakenReplica taken;
    taken.ticket = { replica.number, replica.info, winner.uncachedTokens, isFirstAfterRest };

    if (hasRested (replica.stated.rest))
        taken.restEnded = now - replica.stated.rest.until;

    for (const auto& candidate : choice->candidates)
        taken.candidateNames.push_back (replicas[candidate.index].info.name);

    taken.choice = std::move (*choice);
    return taken;
}

auto ReplicaTable::recordAnswerStart (ReplicaTicket& ticket,
                                      std::span<const std::uint64_t> blocks,
                                      std::optional<double> cachedTokens) -> void
{
    const std::lock_guard lock (mutex);
    auto* replica = find (ticket.number);

    if (replica != nullptr)
        replica->ownPendingTokens = std::max (0.0, replica->ownPendingTokens - ticket.expectedTokens);

    if (replica != nullptr && ticket.isFirstAfterRest)
        recordTrialEnd (replica->stated.rest, true);

    ticket.expectedTokens = 0.0;

    // Whether it was cached before or not, the replica has computed the whole prompt now.
    if (cachedTokens)
        prefixes.record (blocks, ticket.number);
}

auto ReplicaTable::recordWait (const std::string& service, double ownTokens, Duration wait) -> void
{
    const std::lock_guard lock (mutex);
    promptSpeeds[service].record (ownTokens, wait);
}

auto ReplicaTable::promptSpeed (const std::string& service) const -> std::optional<double>
{
    const std::lock_guard lock (mutex);
    const auto found = promptSpeeds.find (service);
    return found == promptSpeeds.end() ? std::nullopt : found->second.tokensPerMillisecond();
}

auto ReplicaTable::release (const ReplicaTicket& ticket, AttemptHealth health, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    auto* replica = find (ticket.number);

    if (replica == nullptr)
        return;

    requireInvariant (replica->inFlight > 0, "each request is released once");
    replica->inFlight -= 1;
    replica->ownPendingTokens = std::max (0.0, replica->ownPendingTokens - ticket.expectedTokens);
    recordAttemptHealth (*replica, health, breaker, now);

    if (ticket.isFirstAfterRest)
        recordTrialEnd (replica->stated.rest,
                        health == AttemptHealth::good || health == AttemptHealth::refused);
}

auto ReplicaTable::addressOf (std::uint32_t hash) const -> std::optional<Address>
{
    const std::lock_guard lock (mutex);
    std::optional<Address> address;
    forEachOfHash (hash,
                   [&address] (const ReplicaState& replica) {
                       address = Address { replica.info.endpoint, replica.leavingSince.has_value() };
                   });
    return address;
}

auto ReplicaTable::closeBreakers() -> void
{
    const std::lock_guard lock (mutex);

    for (auto& [service, replicas] : services)
        for (auto& replica : replicas)
        {
            replica.failuresInRow = 0;
            replica.timesOpened = 0;
            replica.openUntil.reset();
            replica.isProbing = false;
        }
}

auto ReplicaTable::recordLoad (ReplicaNumber number, const LoadReport& report, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    auto* replica = find (number);

    if (replica == nullptr)
        return;

    const auto noneSentSince = std::uint32_t { 0 };
    applyReport (*replica, report, now, noneSentSince);

    if (report.leaving && ! replica->leavingSince)
        replica->leavingSince = now;
}

auto ReplicaTable::recordForwardedLoad (std::uint32_t hash, const LoadReport& report, TimePoint reportedAt)
    -> void
{
    const std::lock_guard lock (mutex);

    forEachOfHash (hash,
                   [&] (ReplicaState& replica)
                   {
                       if (replica.reportTime && *replica.reportTime >= reportedAt)
                           return;

                       // The report is from an earlier incarnation under the same name.
                       if (reportedAt < replica.firstSeen)
                           return;

                       // Requests that this router sent after the replica made the report are not in it.
                       const auto sentSince = static_cast<std::uint32_t> (std::ranges::count_if (
                           replica.recentSendTimes, [reportedAt] (TimePoint at) { return at > reportedAt; }));
                       applyReport (replica, report, reportedAt, sentSince);
                   });
}

auto ReplicaTable::recordAnnouncedPrompt (std::uint32_t hash, double tokens, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);

    forEachOfHash (hash,
                   [&] (ReplicaState& replica)
                   {
                       replica.promptSpeed =
                           promptSpeeds[replica.info.service].tokensPerMillisecond().value_or (
                               initialPromptSpeed);
                       const auto prefill = std::chrono::duration_cast<Duration> (
                           std::chrono::duration<double, std::milli> (tokens / replica.promptSpeed));
                       replica.othersPromptsDoneAt = std::max (replica.othersPromptsDoneAt, now) + prefill;
                       std::erase_if (replica.announcementTimes,
                                      [now] (TimePoint time) { return now - time > announcementLifetime; });
                       replica.announcementTimes.push_back (now);
                   });
}

auto ReplicaTable::recordRateLimit (std::uint32_t hash,
                                    std::optional<double> perSecond,
                                    TimePoint statedAt,
                                    TimePoint now) -> bool
{
    const std::lock_guard lock (mutex);
    auto hasChanged = false;

    forEachOfHash (hash,
                   [&] (ReplicaState& replica)
                   {
                       if (statedAt <= replica.stated.rateLimitStatedAt)
                           return;

                       replica.stated.rateLimitStatedAt = statedAt;
                       auto& limit = replica.stated.rateLimit;
                       const auto known = limit ? std::optional (limit->perSecond) : std::nullopt;

                       if (known == perSecond)
                           return;

                       hasChanged = true;

                       if (! perSecond)
                       {
                           limit.reset();
                           updateRestricted (replica);
                           return;
                       }

                       if (! limit)
                       {
                           limit.emplace();
                           limit->received = randomFraction();
                           limit->countedAt = now;
                       }

                       limit->perSecond = *perSecond;
                       limit->statedAt = statedAt;
                       setOwnShare (*limit, rateShare (replica.info.service), now);
                       updateRestricted (replica);
                   });

    return hasChanged;
}

auto ReplicaTable::rateLimit (std::uint32_t hash) const -> std::optional<double>
{
    const std::lock_guard lock (mutex);
    const auto found = std::ranges::lower_bound (byHash, hash, {}, &HashedReplica::first);

    if (found == byHash.end() || found->first != hash || ! found->second->stated.rateLimit)
        return {};

    return found->second->stated.rateLimit->perSecond;
}

auto ReplicaTable::replicasWithLimit (const std::string& service) const -> std::vector<LimitedReplica>
{
    const std::lock_guard lock (mutex);
    std::vector<LimitedReplica> limited;
    const auto found = services.find (service);

    if (found == services.end())
        return limited;

    for (const auto& replica : found->second)
        if (const auto& limit = replica.stated.rateLimit)
            limited.push_back ({ replica.info.name, limit->perSecond, limit->ownRate, limit->sent });

    return limited;
}

auto ReplicaTable::setRateShare (const std::string& service, double share, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);

    if (share == rateShare (service))
        return;

    rateShares[service] = share;
    const auto found = services.find (service);

    if (found == services.end())
        return;

    for (auto& replica : found->second)
        if (replica.stated.rateLimit)
            setOwnShare (*replica.stated.rateLimit, share, now);
}

auto ReplicaTable::recordRejectionLimit (std::uint32_t hash,
                                         std::optional<double> perSecond,
                                         TimePoint statedAt) -> bool
{
    const std::lock_guard lock (mutex);
    auto hasChanged = false;

    forEachOfHash (hash,
                   [&] (ReplicaState& replica)
                   {
                       if (statedAt <= replica.stated.rejectionLimitStatedAt)
                           return;

                       replica.stated.rejectionLimitStatedAt = statedAt;
                       auto& limit = replica.stated.rejectionLimit;
                       const auto known = limit ? std::optional (limit->perSecond) : std::nullopt;

                       if (known == perSecond)
                           return;

                       hasChanged = true;

                       if (! perSecond)
                           limit.reset();
                       else if (! limit)
                           limit.emplace();

                       if (limit)
                       {
                           limit->perSecond = *perSecond;
                           limit->own = fleetPosition;
                       }

                       updateRestricted (replica);
                   });

    if (hasChanged)
        countLimited();

    return hasChanged;
}

auto ReplicaTable::rejectionLimit (std::uint32_t hash) const -> std::optional<double>
{
    const std::lock_guard lock (mutex);
    const auto found = std::ranges::lower_bound (byHash, hash, {}, &HashedReplica::first);

    if (found == byHash.end() || found->first != hash || ! found->second->stated.rejectionLimit)
        return {};

    return found->second->stated.rejectionLimit->perSecond;
}

auto ReplicaTable::recordRest (std::uint64_t incarnation, Duration asked, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    auto isListed = false;

    for (const auto& [number, replica] : byNumber)
    {
        if (replica->incarnation != incarnation)
            continue;

        isListed = true;
        snowrudder::recordRest (replica->stated.rest, asked, fleetPosition, replica->slots(), replica->hash,
                                now);
        updateRestricted (*replica);
    }

    // Its entry may have lapsed since the request was sent, and come back before the rest is over.
    if (! isListed)
    {
        auto& kept = keptStatements[incarnation];
        kept.unlistedAt = now;
        snowrudder::recordRest (kept.stated.rest, asked, fleetPosition, ReplicaInfo().slots,
                                static_cast<std::uint32_t> (incarnation), now);
    }

    countLimited();
}

auto ReplicaTable::isResting (std::uint32_t hash, TimePoint now) const -> bool
{
    const std::lock_guard lock (mutex);
    auto isFound = false;
    forEachOfHash (hash, [&] (const ReplicaState& replica)
                   { isFound = isFound || snowrudder::isResting (replica.stated.rest, now); });
    return isFound;
}

auto ReplicaTable::hasResting (const std::string& service, TimePoint now) const -> bool
{
    const std::lock_guard lock (mutex);
    const auto found = services.find (service);
    return found != services.end() &&
           std::ranges::any_of (found->second, [now] (const ReplicaState& replica)
                                { return snowrudder::isResting (replica.stated.rest, now); });
}

auto ReplicaTable::recordRejection (ReplicaNumber number,
                                    const std::optional<LoadReport>& load,
                                    TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    auto* replica = find (number);

    if (replica == nullptr || ! replica->stated.rejectionLimit)
        return;

    const auto room =
        load ? std::optional (static_cast<double> (load->running + load->waiting)) : std::nullopt;
    const auto others = replica->inFlight - std::min (replica->inFlight, 1U);
    snowrudder::recordRejection (*replica->stated.rejectionLimit, room, others, now);
}

auto ReplicaTable::setFleetPosition (const FleetPosition& position) -> void
{
    const std::lock_guard lock (mutex);

    if (position == fleetPosition)
        return;

    fleetPosition = position;

    for (auto& [service, replicas] : services)
        for (auto& replica : replicas)
            if (replica.stated.rejectionLimit)
                replica.stated.rejectionLimit->own = position;
}

auto ReplicaTable::mustWaitForPlace (const std::string& service,
                                     const std::vector<ReplicaNumber>& tried,
                                     TimePoint now) const -> bool
{
    const std::lock_guard lock (mutex);

    if (limitedReplicas == 0)
        return false;

    const auto found = services.find (service);

    if (found == services.end())
        return false;

    auto hasFull = false;

    for (const auto& replica : found->second)
    {
        const auto availability = availabilityOf (replica, now);
        const auto wasTried = std::ranges::find (tried, replica.number) != tried.end();

        if (availability == ReplicaAvailability::usable && ! wasTried)
            return false;

        hasFull = hasFull || availability == ReplicaAvailability::full;
    }

    return hasFull;
}

auto ReplicaTable::retryDelay (const std::string& service,
                               std::optional<Duration> startTime,
                               TimePoint now) const -> std::optional<Duration>
{
    const std::lock_guard lock (mutex);
    const auto found = services.find (service);

    if (found == services.end())
        return startTime;

    std::optional<Duration> earliest;
    const auto consider = [&earliest] (Duration delay)
    { earliest = std::min (earliest.value_or (delay), std::max (delay, Duration::zero())); };
    auto perSecond = 0.0;

    for (const auto& replica : found->second)
        switch (availabilityOf (replica, now))
        {
            case ReplicaAvailability::limited:
                perSecond += appliedLimit (replica.stated.rateLimit->perSecond);
                break;
            case ReplicaAvailability::resting:
                consider (replica.stated.rest.returnsAt - now +
                          std::chrono::duration_cast<Duration> (returnSpread * randomFraction()));
                break;
            case ReplicaAvailability::leaving:
                consider (std::max (*replica.leavingSince + startTime.value_or (minStartDelay) - now,
                                    minStartDelay));
                break;
            case ReplicaAvailability::usable:
            case ReplicaAvailability::full:
            // Another router may reach it.
            case ReplicaAvailability::suspended:
            case ReplicaAvailability::ended:
                return {};
        }

    if (perSecond > 0.0)
        consider (std::chrono::duration_cast<Duration> (std::chrono::duration<double> (1.0 / perSecond)));

    return earliest;
}

auto ReplicaTable::isWithdrawn (ReplicaNumber number, TimePoint now) const -> bool
{
    const std::lock_guard lock (mutex);
    const auto* replica = find (number);
    return replica != nullptr && (replica->leavingSince || snowrudder::isResting (replica->stated.rest, now));
}

auto ReplicaTable::markEnded (std::uint64_t incarnation, TimePoint at) -> void
{
    const std::lock_guard lock (mutex);

    for (auto& [service, replicas] : services)
        for (auto& replica : replicas)
            if (replica.incarnation == incarnation && (! replica.reportTime || *replica.reportTime <= at))
                replica.endedAt = std::max (replica.endedAt.value_or (at), at);
}

auto ReplicaTable::lastReportTime (std::uint64_t incarnation) const -> std::optional<TimePoint>
{
    const std::lock_guard lock (mutex);

    for (const auto& [service, replicas] : services)
        for (const auto& replica : replicas)
            if (replica.incarnation == incarnation)
                return replica.reportTime;

    return {};
}

auto ReplicaTable::markUnreachable (ReplicaNumber number, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);

    if (auto* replica = find (number);
        replica != nullptr && availabilityOf (*replica, now) == ReplicaAvailability::usable)
        recordAttemptHealth (*replica, AttemptHealth::unreachable, breaker, now);
}

auto ReplicaTable::listing (ReplicaNumber number) const -> ReplicaListing
{
    const std::lock_guard lock (mutex);
    const auto* found = find (number);

    if (found == nullptr)
        return ReplicaListing::unlisted;

    if (found->leavingSince)
        return ReplicaListing::leaving;

    return found->isReplaced ? ReplicaListing::replaced : ReplicaListing::listed;
}

auto ReplicaTable::hasSuccessor (const ReplicaInfo& replica) const -> bool
{
    const std::lock_guard lock (mutex);

    for (const auto& [service, listed] : services)
        for (const auto& other : listed)
            if (other.info.endpoint == replica.endpoint && ! isSameIncarnation (other.info, replica))
                return true;

    return false;
}

auto ReplicaTable::capacity (const std::string& service, TimePoint now) const -> Capacity
{
    const std::lock_guard lock (mutex);
    Capacity capacity;
    const auto found = services.find (service);

    if (found == services.end())
        return capacity;

    // Requests that no replica takes because of limits or rest must not wait in a queue: they are refused at once.
    Capacity limited;

    for (const auto& replica : found->second)
    {
        const auto availability = availabilityOf (replica, now);
        const auto isLimited =
            availability == ReplicaAvailability::limited || availability == ReplicaAvailability::resting;

        if (availability != ReplicaAvailability::usable && availability != ReplicaAvailability::full &&
            ! isLimited)
            continue;

        auto& sum = isLimited ? limited : capacity;
        const auto busy = std::min (estimatedRequests (replica, now), replica.slots());
        sum.slots += replica.slots();
        sum.busy += busy;

        if (! replica.stated.rejectionLimit)
            continue;

        sum.dividedSlots += replica.slots();
        sum.dividedBusy += busy;
        sum.ownPlaces += ownPlaces (*replica.stated.rejectionLimit, replica.slots(), replica.hash, now);
    }

    return capacity.slots > 0.0 ? capacity : limited;
}

auto ReplicaTable::totals (const std::string& service) const -> Totals
{
    const std::lock_guard lock (mutex);
    Totals totals;
    const auto found = services.find (service);

    if (found == services.end())
        return totals;

    for (const auto& replica : found->second)
    {
        totals.replicas += 1.0;
        totals.slots += replica.slots();
        totals.inFlight += replica.inFlight;
    }

    return totals;
}

auto ReplicaTable::rateShare (const std::string& service) const -> double
{
    const auto found = rateShares.find (service);
    return found == rateShares.end() ? 1.0 : found->second;
}

auto ReplicaTable::makeState (const ListedReplica& entry, bool isFirstList, TimePoint now) -> ReplicaState
{
    ReplicaState state;
    state.number = nextNumber++;
    state.info = entry.info;
    state.hash = replicaHash (entry.info.name);
    state.incarnation = incarnationHash (entry.info);
    // Replicas that were there before this router need no slow start.
    state.firstSeen = isFirstList ? longAgo : now;

    if (const auto kept = keptStatements.extract (state.incarnation); ! kept.empty())
        state.stated = kept.mapped().stated;

    // This router's part may have changed meanwhile.
    if (state.stated.rateLimit)
        setOwnShare (*state.stated.rateLimit, rateShare (state.info.service), now);

    if (state.stated.rejectionLimit)
        state.stated.rejectionLimit->own = fleetPosition;

    updateRestricted (state);
    return state;
}

auto ReplicaTable::rebuildIndexes() -> void
{
    byHash.clear();
    byNumber.clear();

    for (auto& [service, replicas] : services)
        for (auto& replica : replicas)
        {
            byHash.emplace_back (replica.hash, &replica);
            byNumber.emplace_back (replica.number, &replica);
        }

    std::ranges::sort (byHash, {}, &HashedReplica::first);
    std::ranges::sort (byNumber, {}, &NumberedReplica::first);
    countLimited();
}

auto ReplicaTable::countLimited() -> void
{
    limitedReplicas = static_cast<std::size_t> (
        std::ranges::count_if (byNumber,
                               [] (const NumberedReplica& entry)
                               {
                                   const auto& stated = entry.second->stated;
                                   return stated.rejectionLimit.has_value() || hasRested (stated.rest);
                               }));
}

auto ReplicaTable::keepStatements (const ReplicaState& replica, TimePoint now) -> void
{
    std::erase_if (keptStatements,
                   [now] (const auto& kept) { return now - kept.second.unlistedAt > statementsKept; });

    if (restrictsRequests (replica.stated))
        keptStatements[replica.incarnation] = { replica.stated, now };
}

auto ReplicaTable::markReplaced() -> void
{
    using AtEndpoint = std::pair<std::uint64_t, ReplicaState*>;
    std::vector<AtEndpoint> byEndpoint;
    byEndpoint.reserve (byNumber.size());

    for (const auto& [number, replica] : byNumber)
        byEndpoint.emplace_back (hashBytes (replica->info.endpoint), replica);

    std::ranges::sort (byEndpoint, {}, &AtEndpoint::first);

    for (auto first = byEndpoint.begin(); first != byEndpoint.end();)
    {
        const auto end = std::ranges::find_if (
            first, byEndpoint.end(), [&] (const auto& other) { return other.first != first->first; });
        const std::span sharing (first, end);

        const auto hasLater = [&sharing] (const ReplicaState& replica)
        {
            return std::ranges::any_of (sharing,
                                        [&replica] (const AtEndpoint& other) {
                                            return other.second->info.endpoint == replica.info.endpoint &&
                                                   startedLater (*other.second, replica);
                                        });
        };

        for (const auto& [hash, replica] : sharing)
        {
            replica->isReplaced = hasLater (*replica);
            updateRestricted (*replica);
        }

        first = end;
    }
}

auto ReplicaTable::find (ReplicaNumber number) const -> ReplicaState*
{
    const auto found = std::ranges::lower_bound (byNumber, number, {}, &NumberedReplica::first);
    return found != byNumber.end() && found->first == number ? found->second : nullptr;
}

} // namespace snowrudder
