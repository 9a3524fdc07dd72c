#include "ReplicaTable.h"

#include "../prefix/PromptBlocks.h"

#include <algorithm>
#include <set>

namespace snowrudder
{

namespace
{

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

/** @param sentSince  number of requests that this router has sent since the replica made the report */
auto applyReport (ReplicaState& replica,
                  const LoadReport& report,
                  TimePoint reportedAt,
                  std::uint32_t sentSince) -> void
{
    if (replica.endedAt && reportedAt > *replica.endedAt + ReplicaState::forwardingDelay)
        replica.endedAt.reset();

    replica.report = report;
    replica.reportTime = reportedAt;
    replica.inFlightAtReport = replica.inFlight - std::min (replica.inFlight, sentSince);
    replica.ownPendingAtReport = replica.ownPendingTokens;
    std::erase_if (replica.announcementTimes, [reportedAt] (TimePoint time) { return time <= reportedAt; });
}

} // namespace

auto ReplicaTable::update (const std::vector<ListedReplica>& listed, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    const auto isFirstList = services.empty();
    std::map<std::string, std::vector<ReplicaState>, std::less<>> updated;

    for (const auto& entry : listed)
    {
        auto& known = services[entry.info.service];
        const auto found = std::ranges::find_if (known, [&] (const auto& replica)
                                                 { return isSameIncarnation (replica.info, entry.info); });

        ReplicaState state;

        if (found != known.end())
        {
            state = std::move (*found);
            state.info = entry.info;
        }
        else
        {
            state.number = nextNumber++;
            state.info = entry.info;
            state.hash = replicaHash (entry.info.name);
            state.incarnation = incarnationHash (entry.info);
            // Replicas that were there before this router need no slow start.
            state.firstSeen = isFirstList ? longAgo : now;
        }

        if (entry.leaving && ! state.leavingSince)
            state.leavingSince = now;

        updated[entry.info.service].push_back (std::move (state));
    }

    services = std::move (updated);
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

    replica.inFlight += 1;
    replica.recentSendTimes.push_back (now);

    if (replica.recentSendTimes.size() > ReplicaState::keptSendTimes)
        replica.recentSendTimes.erase (replica.recentSendTimes.begin());

    replica.ownPendingTokens += winner.uncachedTokens;
    replica.isProbing = replica.openUntil.has_value();
    prefixes.record (input.blocks, replica.number);

    TakenReplica taken;
    taken.ticket = { replica.number, replica.info, winner.uncachedTokens };

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

auto ReplicaTable::markLeaving (ReplicaNumber number, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);

    if (auto* replica = find (number); replica != nullptr && ! replica->leavingSince)
        replica->leavingSince = now;
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
    const ReplicaState* found = nullptr;

    for (const auto& [service, replicas] : services)
        for (const auto& replica : replicas)
            if (replica.number == number)
                found = &replica;

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

    for (const auto& replica : found->second)
    {
        if (availabilityOf (replica, now) != ReplicaAvailability::usable)
            continue;

        capacity.slots += replica.info.slots;
        capacity.busy +=
            std::min (estimatedRequests (replica, now), static_cast<double> (replica.info.slots));
    }

    return capacity;
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
        totals.slots += replica.info.slots;
        totals.inFlight += replica.inFlight;
    }

    return totals;
}

auto ReplicaTable::markReplaced() -> void
{
    std::map<std::string_view, const ReplicaState*> latest;

    for (const auto& [service, replicas] : services)
        for (const auto& replica : replicas)
            if (auto& known = latest[replica.info.endpoint];
                known == nullptr || startedLater (replica, *known))
                known = &replica;

    for (auto& [service, replicas] : services)
        for (auto& replica : replicas)
            replica.isReplaced = startedLater (*latest.at (replica.info.endpoint), replica);
}

auto ReplicaTable::find (ReplicaNumber number) -> ReplicaState*
{
    for (auto& [service, replicas] : services)
        for (auto& replica : replicas)
            if (replica.number == number)
                return &replica;

    return nullptr;
}

} // namespace snowrudder
