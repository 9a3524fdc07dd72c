#include "Membership.h"

#include "../store/StoreTransactions.h"

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
constexpr auto listInterval = 2s;

/** How often a node that has just started lists the members. Until it knows its readers it queries the store itself,
    some three times a second, and nodes that start together discover each other late.
*/
constexpr auto firstListInterval = 400ms;
constexpr auto failurePause = 1s;

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

    const auto listed = co_await store.list (std::string (memberPrefix), ReadFreshness::newest);

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
    for (;;)
    {
        const auto isStoreReachable = co_await refresh();

        if (! isStoreReachable)
            co_await pauseFor (state.loop, jittered (failurePause));
    }
}

auto Membership::refresh() -> Task<bool>
{
    if (state.fleetSecret.empty())
        co_await readSharedKeys();

    if (state.fleetSecret.empty())
        co_await agreeOnSecret();

    if (state.fleetSecret.empty())
        co_return false;

    if (! state.leaving)
        co_await joinMembers();

    if (! mustListMembers (state.storeUpdates, BootClock::now()))
    {
        co_await pauseFor (state.loop, listPause());
        co_return true;
    }

    const auto listed = co_await store.list (std::string (memberPrefix), ReadFreshness::secondsOld);

    if (listed.outcome != StoreOutcome::done)
        co_return false;

    applyMembers (listed);
    co_await pauseFor (state.loop, listPause());
    co_return true;
}

auto Membership::listPause() const -> Duration
{
    const auto isNew = isRecentlyStarted (state.sharing, BootClock::now());
    return jittered (isNew ? Duration (firstListInterval) : Duration (listInterval));
}

/** Reads the secret and the members by one call, whose response may be seconds old, so that a restarted node need not
    write to obtain the secret. A node that finds no members may only be the first to start, and takes them from the
    list that follows its joining.
*/
auto Membership::readSharedKeys() -> Task<void>
{
    const auto listed = co_await store.list (std::string (sharedPrefix), ReadFreshness::secondsOld);

    if (listed.outcome != StoreOutcome::done)
        co_return;

    auto hasMembers = false;
    const auto own = ownEntry();

    for (const auto& item : listed.items)
    {
        if (item.key == secretKey)
            state.fleetSecret = item.value;

        hasMembers = hasMembers || item.key.starts_with (memberPrefix);

        // The entry of an earlier process of this node remains until its lease expires. Renewing that lease costs a
        // twentieth of the price of a new entry.
        if (item.key == own.key && item.value == own.value)
            lease = item.lease;
    }

    if (hasMembers)
        applyMembers (listed);
}

auto Membership::ownEntry() const -> StoredItem
{
    StoredItem item;
    item.key = std::string (memberPrefix) + state.settings.node;
    item.value = formatMember ({ state.settings.listenPeers, state.settings.failureDomain });
    return item;
}

auto Membership::agreeOnSecret() -> Task<void>
{
    const auto proposed = toString (makeUuid (wallTimeNow()));
    const auto result = co_await store.commit (makeCreateTransaction (std::string (secretKey), proposed));

    if (result.outcome == StoreOutcome::done)
        state.fleetSecret = proposed;

    if (result.outcome == StoreOutcome::refused)
        if (const auto* first = existingItem (result.items))
            state.fleetSecret = first->value;
}

auto Membership::joinMembers() -> Task<void>
{
    const auto now = BootClock::now();

    if (lease != 0)
    {
        if (now - renewed < renewInterval)
            co_return;

        const auto outcome = co_await store.renewLease (lease);

        if (outcome == StoreOutcome::done)
        {
            renewed = now;
            co_return;
        }

        if (outcome != StoreOutcome::refused)
            co_return;

        lease = 0;

        if (renewed != TimePoint())
            LogLine ("membership_lapsed").warning();
    }

    const auto granted = co_await store.grantLease (memberLease);

    if (granted.outcome != StoreOutcome::done)
        co_return;

    StoreTransaction join;
    join.puts.push_back (ownEntry());
    join.puts.back().lease = granted.lease;
    const auto joined = co_await store.commit (std::move (join));

    if (joined.outcome != StoreOutcome::done)
        co_return;

    lease = granted.lease;
    renewed = now;
    LogLine ("membership_joined").with ("lease", lease).info();
}

auto Membership::applyMembers (const ReadItems& listed) -> void
{
    std::map<std::string, MemberInfo> members;
    endpointsOfOthers.clear();
    membersOfDomain.clear();
    auto hash = std::uint64_t { 1 };
    members[state.settings.node] = { state.settings.listenPeers, state.settings.failureDomain };

    for (const auto& item : listed.items)
    {
        if (! item.key.starts_with (memberPrefix))
            continue;

        hash = hashBytes (item.value, hashBytes (item.key, hash));
        const auto name = item.key.substr (memberPrefix.size());
        auto member = parseMember (item.value);
        const auto endpoint = datagramEndpoint (member.endpoint);

        if (name == state.settings.node || ! endpoint)
            continue;

        endpointsOfOthers.push_back (*endpoint);

        if (member.failureDomain == state.settings.failureDomain)
            membersOfDomain.push_back (*endpoint);

        members.emplace (name, std::move (member));
    }

    state.storeUpdates.membersHash = hash;
    state.storeUpdates.membersListedAt = BootClock::now();

    // A reader's summary may be newer than a list that is seconds old.
    if (listed.revision >= state.storeUpdates.members.revision)
        state.storeUpdates.members = { listed.revision, hash, members.size(), readersOf (members) };

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

auto Membership::updateReaders() -> void
{
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
