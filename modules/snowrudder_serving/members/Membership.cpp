#include "Membership.h"

#include "../store/ListPages.h"
#include "../store/StoreTransactions.h"
#include "MemberKey.h"
#include "ReportTimes.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** The lease of a member's entry: the entry expires this long after its node's last renewal. */
constexpr auto memberLease = Duration (12s);
constexpr auto renewInterval = Duration (4s);

/** How often the members are listed. A list that may be seconds old suffices, since nodes without recent reports aren't
    counted.
*/
constexpr auto listInterval = Duration (2s);

/** How often a node that has just started lists the members. Until it knows its readers it queries the store itself,
    some three times a second, and nodes that start together discover each other late.
*/
constexpr auto firstListInterval = Duration (400ms);
constexpr auto firstFailurePause = Duration (300ms);
constexpr auto failurePause = Duration (1s);

constexpr auto failurePollInterval = Duration (20ms);

/** Pause after a failed call to register this node or to renew its entry. */
constexpr auto joinFailurePause = Duration (1s);

/** How long a node without an earlier entry waits for others to register themselves. Nodes that are started together start
    within 0.3 s.
*/
constexpr auto firstStartPause = Duration (300ms);

/** When a whole fleet starts for the first time, its nodes register themselves at random moments within this time. It takes
    a thousand nodes two thousand writes, and a store of that size bears some 3,000 a second.
*/
constexpr auto firstJoinSpread = Duration (1s);

auto fractionOf (Duration duration, double fraction) -> Duration
{
    return std::chrono::duration_cast<Duration> (duration * fraction);
}

auto hasAnswerSince (const StoreCalls& calls, TimePoint time) -> bool
{
    const auto isAnswered = [time] (const StoreCall& call)
    { return call.endedAt && *call.endedAt > time && isConclusive (call.outcome); };
    return isAnswered (calls.configuration) || isAnswered (calls.replicas);
}

} // namespace

auto datagramEndpoint (std::string_view text) -> std::optional<asio::ip::udp::endpoint>
{
    const auto parsed = parseEndpoint (text);
    return parsed.port() == 0 ? std::nullopt
                              : std::optional (asio::ip::udp::endpoint (parsed.address(), parsed.port()));
}

Membership::Membership (ServingState& servingState, const StateStore& stateStore)
    : state (servingState), store (stateStore)
{
}

auto Membership::listOthersIfNone() -> Task<void>
{
    if (! endpointsOfOthers.empty())
        co_return;

    const auto listed =
        co_await listItems (state.loop, store, std::string (memberPrefix), ReadFreshness::newest);

    if (listed.outcome == StoreOutcome::done)
        applyMembers (listed);
}

auto Membership::leave() -> Task<void>
{
    if (lease != 0)
        co_await store.endLease (lease);
}

auto Membership::follow() -> Task<void>
{
    for (auto failures = 0U;;)
    {
        const auto began = BootClock::now();
        const auto isStoreReachable = co_await refresh();
        failures = isStoreReachable ? 0 : failures + 1;

        if (! isStoreReachable)
            co_await pauseAfterFailure (began, failures);
    }
}

/** Pauses after a failed call. The pause is short if the store has answered another call of this node since, as it has just
    returned then.
*/
auto Membership::pauseAfterFailure (TimePoint callBegan, unsigned failures) -> Task<void>
{
    const auto now = BootClock::now();
    const auto shortEnd = now + jittered (firstFailurePause);
    const auto end = failures < 2 ? shortEnd : now + jittered (failurePause);

    while (BootClock::now() < (hasAnswerSince (state.storeCalls, callBegan) ? shortEnd : end))
        co_await pauseFor (state.loop, failurePollInterval);
}

auto Membership::refresh() -> Task<bool>
{
    if (state.fleetSecret.empty())
        co_await readSecret();

    if (state.fleetSecret.empty())
        co_await agreeOnSecret();

    if (state.fleetSecret.empty())
        co_return false;

    const auto isFirst = ! isStarted;

    if (isFirst)
        isStarted = co_await startInDomain();

    if (! isStarted)
        co_return false;

    const auto hasJustListed = isFirst && reliesOnReaders (state.storeUpdates);

    if (! hasJustListed && mustListMembers (state.storeUpdates, BootClock::now()))
    {
        const auto isListed = co_await listMembers();

        if (! isListed)
            co_return false;
    }

    co_await pauseFor (state.loop, listPause());
    co_return true;
}

/** Lists the members that this node needs to know.

    @returns whether the store responded
*/
auto Membership::listMembers() -> Task<bool>
{
    const auto& storeUpdates = state.storeUpdates;

    if (! storeUpdates.domainMembers || reliesOnReaders (storeUpdates))
    {
        const auto isListed = co_await listDomain (ReadFreshness::secondsOld);

        if (! isListed || reliesOnReaders (storeUpdates))
            co_return isListed;
    }

    co_return co_await listAll();
}

/** Lists this node's failure domain, and begins to register this node.

    @returns whether the store responded
*/
auto Membership::startInDomain() -> Task<bool>
{
    const auto isListed = co_await listDomain (ReadFreshness::secondsOld);

    if (! isListed)
        co_return false;

    const auto isFleetStart = state.settings.isFleetStart && ! hasEarlierEntry;
    const auto spread = isFleetStart ? firstJoinSpread : Duration::zero();
    asio::co_spawn (state.loop, keepJoined (fractionOf (spread, randomFraction())), asio::detached);

    const auto mayBeAmongTheFirst = isFleetStart || *state.storeUpdates.domainMembers == 1;

    if (hasEarlierEntry || reliesOnReaders (state.storeUpdates) || ! mayBeAmongTheFirst)
        co_return true;

    // A whole fleet may start for the first time, or after all entries have expired: the others register themselves at the
    // same moment, and a copy doesn't show them yet.
    state.storeUpdates.domainMembers.reset();
    co_await pauseFor (state.loop, spread + jittered (firstStartPause));
    co_await listDomain (ReadFreshness::newest);
    co_return true;
}

auto Membership::listPause() -> Duration
{
    const auto& storeUpdates = state.storeUpdates;
    const auto now = BootClock::now();

    if (! isRecentlyStarted (state.sharing, now))
        return jittered (listInterval);

    if (! reliesOnReaders (storeUpdates) || ! mustListMembers (storeUpdates, now))
    {
        listsWithoutReader = 0;
        return jittered (firstListInterval);
    }

    // A node with an earlier entry is restarted in a fleet that is listed whole, so that it knows its readers already.
    if (hasEarlierEntry)
        return jittered (listInterval);

    return jittered (std::min<Duration> (firstListInterval * (1U << listsWithoutReader++), listInterval));
}

/** Reads the secret from a copy that may be seconds old, so that a restarted node need not write to obtain it, and from the
    store itself if there is none in the copy.
*/
auto Membership::readSecret() -> Task<void>
{
    auto& call = state.storeCalls.members;
    beginCall (call, "read_secret", BootClock::now());
    auto read = co_await store.read (std::string (secretKey), ReadFreshness::secondsOld);

    if (read.outcome == StoreOutcome::refused)
        read = co_await store.read (std::string (secretKey), ReadFreshness::newest);

    endCall (call, read.outcome, BootClock::now());

    for (const auto& item : read.items)
        state.fleetSecret = item.value;
}

auto Membership::listDomain (ReadFreshness age) -> Task<bool>
{
    auto& call = state.storeCalls.members;
    beginCall (call, "list_domain", BootClock::now());
    const auto listed = co_await listItems (state.loop, store, domainPrefix(), age);
    endCall (call, listed.outcome, BootClock::now());

    if (listed.outcome != StoreOutcome::done)
        co_return false;

    if (! isStarted)
        takeUpLease (listed);

    auto& storeUpdates = state.storeUpdates;

    // A member that is missing from a list that isn't whole may be there.
    if (listed.hasMore && storeUpdates.domainMembers)
        co_return true;

    const auto members = readMembers (listed);
    storeUpdates.domainMembers = members.size();

    if (members.size() <= maxFullyListedDomain)
        co_return true;

    storeUpdates.membersHash = std::max<std::uint64_t> (storeUpdates.membersHash, 1);

    // A copy may be older than what a reader has sent.
    if (listed.revision >= storeUpdates.members.revision)
        applyDomainMembers (storeUpdates.members, state.settings.failureDomain, members,
                            state.settings.failureDomainCount);

    applySummary();
    co_return true;
}

auto Membership::listAll() -> Task<bool>
{
    const auto listed =
        co_await listItems (state.loop, store, std::string (memberPrefix), ReadFreshness::secondsOld);

    if (listed.outcome == StoreOutcome::done)
        applyMembers (listed);

    co_return listed.outcome == StoreOutcome::done;
}

/** The entry of an earlier process of this node remains until its lease expires. Renewing that lease costs a twentieth of
    the price of a new entry.
*/
auto Membership::takeUpLease (const ReadItems& listed) -> void
{
    const auto own = ownEntry();

    for (const auto& item : listed.items)
        if (item.key == own.key && item.value == own.value)
        {
            lease = item.lease;
            hasEarlierEntry = true;
        }
}

auto Membership::ownEntry() const -> StoredItem
{
    StoredItem item;
    item.key = domainPrefix() + memberKeyPart (state.settings.node);
    item.value = formatMember ({ state.settings.listenPeers, state.settings.failureDomain });
    return item;
}

auto Membership::domainPrefix() const -> std::string
{
    return std::string (memberPrefix) + memberKeyPart (state.settings.failureDomain) + "/";
}

auto Membership::agreeOnSecret() -> Task<void>
{
    const auto proposed = toString (makeUuid (wallTimeNow()));
    auto& call = state.storeCalls.members;
    beginCall (call, "create_secret", BootClock::now());
    const auto result = co_await store.commit (makeCreateTransaction (std::string (secretKey), proposed));
    endCall (call, result.outcome, BootClock::now());

    if (result.outcome == StoreOutcome::done)
        state.fleetSecret = proposed;

    if (result.outcome == StoreOutcome::refused)
        if (const auto* first = existingItem (result.items))
            state.fleetSecret = first->value;
}

auto Membership::keepJoined (Duration delay) -> Task<void>
{
    co_await pauseFor (state.loop, delay);

    while (! state.leaving)
    {
        const auto isJoined = co_await joinMembers();
        co_await pauseFor (state.loop, isJoined ? renewInterval : jittered (joinFailurePause));
    }
}

auto Membership::joinMembers() -> Task<bool>
{
    const auto now = BootClock::now();

    if (lease != 0)
    {
        const auto outcome = co_await store.renewLease (lease);

        if (outcome == StoreOutcome::done)
        {
            renewed = now;
            co_return true;
        }

        // A node that leaves has ended its lease itself.
        if (outcome != StoreOutcome::refused || state.leaving)
            co_return false;

        lease = 0;

        if (renewed != TimePoint())
            LogLine ("membership_lapsed")
                .with ("renewed_milliseconds", inMilliseconds (now - renewed))
                .warning();
    }

    const auto granted = co_await store.grantLease (memberLease);

    if (granted.outcome != StoreOutcome::done)
        co_return false;

    StoreTransaction join;
    join.puts.push_back (ownEntry());
    join.puts.back().lease = granted.lease;
    const auto joined = co_await store.commit (std::move (join));

    // A write without a response may be applied later. With the lease of a later attempt in force, the entry would go back
    // to this one, and expire with it.
    if (joined.outcome != StoreOutcome::done || state.leaving)
    {
        co_await store.endLease (granted.lease);
        co_return false;
    }

    lease = granted.lease;
    renewed = now;
    LogLine ("membership_joined").with ("lease", lease).info();
    co_return true;
}

/** Reads a list of members, and records the addresses of the others.

    @returns the members by the last parts of their keys, this node included
*/
auto Membership::readMembers (const ReadItems& listed) -> std::map<std::string, MemberInfo>
{
    std::map<std::string, MemberInfo> members;
    endpointsOfOthers.clear();
    membersOfDomain.clear();
    const auto own = memberKeyPart (state.settings.node);
    members[own] = { state.settings.listenPeers, state.settings.failureDomain };

    for (const auto& item : listed.items)
    {
        const auto name = item.key.substr (item.key.rfind ('/') + 1);
        auto member = parseMember (item.value);
        const auto endpoint = datagramEndpoint (member.endpoint);

        if (name == own || ! endpoint)
            continue;

        endpointsOfOthers.push_back (*endpoint);

        if (member.failureDomain == state.settings.failureDomain)
            membersOfDomain.push_back (*endpoint);

        members.emplace (name, std::move (member));
    }

    return members;
}

auto Membership::applyMembers (const ReadItems& listed) -> void
{
    if (listed.hasMore && state.sharing.members)
        return;

    const auto members = readMembers (listed);
    auto hash = std::uint64_t { 1 };

    for (const auto& item : listed.items)
        hash = hashBytes (item.value, hashBytes (item.key, hash));

    state.memberPosition = static_cast<std::size_t> (
        std::distance (members.begin(), members.find (memberKeyPart (state.settings.node))));
    auto& storeUpdates = state.storeUpdates;
    storeUpdates.membersHash = hash;
    storeUpdates.membersListedAt = BootClock::now();
    storeUpdates.domainMembers = static_cast<std::size_t> (
        std::ranges::count_if (members, [this] (const auto& member)
                               { return member.second.failureDomain == state.settings.failureDomain; }));

    // A reader's summary may be newer than a list that is seconds old.
    if (listed.revision >= storeUpdates.members.revision)
        storeUpdates.members = { listed.revision, hash, members.size(), readersOf (members) };

    applySummary();
}

auto Membership::applySummary() -> void
{
    const auto count = state.storeUpdates.members.count;

    if (count != state.memberCount())
        LogLine ("members_changed").with ("before", state.memberCount()).with ("now", count).info();

    state.sharing.members = count;
    state.retryBudgets.setMaxSaved (state.maxSavedRetries());
    updateReaders();
}

auto Membership::streamHolderCandidates() const -> const std::vector<Endpoint>&
{
    return reportsToReaders (state.memberCount()) ? allReaders : endpointsOfOthers;
}

auto Membership::updateReaders() -> void
{
    allReaders.clear();
    readersOfDomain.clear();
    readersElsewhere.clear();
    collectorsOfDomain.clear();
    collectorsElsewhere.clear();
    auto isReader = false;
    auto isCollector = false;

    for (const auto& reader : state.storeUpdates.members.readers)
    {
        if (reader.endpoint == state.settings.listenPeers)
        {
            isReader = true;
            isCollector = reader.isCollector;
            continue;
        }

        const auto endpoint = datagramEndpoint (reader.endpoint);

        if (! endpoint)
            continue;

        const auto isOwnDomain = reader.failureDomain == state.settings.failureDomain;
        allReaders.push_back (*endpoint);
        (isOwnDomain ? readersOfDomain : readersElsewhere).push_back (*endpoint);

        if (reader.isCollector)
            (isOwnDomain ? collectorsOfDomain : collectorsElsewhere).push_back (*endpoint);
    }

    std::erase_if (membersOfDomain, [this] (const Endpoint& endpoint)
                   { return std::ranges::find (collectorsOfDomain, endpoint) != collectorsOfDomain.end(); });

    if (isReader != state.storeUpdates.isReader || isCollector != state.isCollector)
        LogLine (isReader ? "store_reader" : "store_read_by_others")
            .with ("collector", isCollector ? "yes" : "no")
            .with ("readers", readersOfDomain.size())
            .with ("members", state.storeUpdates.members.count)
            .info();

    state.storeUpdates.isReader = isReader;
    state.isCollector = isCollector;
}

} // namespace snowrudder
