#include "Membership.h"

#include "../store/StoreTransactions.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** A member's entry goes this long after its node died. */
constexpr auto memberLease = Duration (12s);
constexpr auto renewInterval = Duration (4s);

/** The members are listed this often. A list that may be seconds old does: nodes that are not heard don't count. */
constexpr auto listInterval = 2s;

/** A node that has just started lists them more often: until it knows who reads the store for it, it asks some three times a
    second itself, and nodes that start together find each other late.
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

auto Membership::lookForOthers() -> Task<void>
{
    if (! endpointsOfOthers.empty())
        co_return;

    const auto listed = co_await store.list (std::string (memberPrefix), ReadFreshness::newest);

    if (listed.outcome == StoreOutcome::done)
        takeMembers (listed.items);
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
        const auto isInTouch = co_await refresh();

        if (! isInTouch)
            co_await pauseFor (state.loop, jittered (failurePause));
    }
}

auto Membership::refresh() -> Task<bool>
{
    if (state.fleetSecret.empty())
        co_await readShared();

    if (state.fleetSecret.empty())
        co_await agreeOnSecret();

    if (state.fleetSecret.empty())
        co_return false;

    if (! state.leaving)
        co_await joinMembers();

    if (! mustListMembers (state.news, SteadyClock::now()))
    {
        co_await pauseFor (state.loop, listPause());
        co_return true;
    }

    const auto listed = co_await store.list (std::string (memberPrefix), ReadFreshness::secondsOld);

    if (listed.outcome != StoreOutcome::done)
        co_return false;

    takeMembers (listed.items);
    co_await pauseFor (state.loop, listPause());
    co_return true;
}

auto Membership::listPause() const -> Duration
{
    const auto isNew = isNewNode (state.sharing, SteadyClock::now());
    return jittered (isNew ? Duration (firstListInterval) : Duration (listInterval));
}

/** Learns by one call, which may tell what was seconds ago, what the other nodes agreed on and who they are: a node that comes
    back need not write to find the secret. One that finds nobody may only be early: it goes by what it lists once it has joined.
*/
auto Membership::readShared() -> Task<void>
{
    const auto listed = co_await store.list (std::string (sharedPrefix), ReadFreshness::secondsOld);

    if (listed.outcome != StoreOutcome::done)
        co_return;

    std::vector<StoredItem> members;
    const auto own = ownEntry();

    for (const auto& item : listed.items)
    {
        if (item.key == secretKey)
            state.fleetSecret = item.value;

        if (item.key.starts_with (memberPrefix))
            members.push_back (item);

        // A process that died left its entry, which its lease keeps up: renewing that is a twentieth of the price of a new one.
        if (item.key == own.key && item.value == own.value)
            lease = item.lease;
    }

    if (! members.empty())
        takeMembers (members);
}

auto Membership::ownEntry() const -> StoredItem
{
    StoredItem item;
    item.key = std::string (memberPrefix) + state.settings.node;
    item.value = writeMember ({ state.settings.listenPeers, state.settings.failureDomain });
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
    const auto now = SteadyClock::now();

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

auto Membership::takeMembers (const std::vector<StoredItem>& listed) -> void
{
    std::map<std::string, MemberInfo> members;
    std::map<std::string, Endpoint> endpoints;
    members[state.settings.node] = { state.settings.listenPeers, state.settings.failureDomain };

    auto hash = std::uint64_t { 1 };

    for (const auto& item : listed)
    {
        hash = hashBytes (item.value, hashBytes (item.key, hash));
        const auto name = item.key.substr (memberPrefix.size());
        auto member = readMember (item.value);
        const auto endpoint = datagramEndpoint (member.endpoint);

        if (name == state.settings.node || ! endpoint)
            continue;

        endpoints.emplace (name, *endpoint);
        members.emplace (name, std::move (member));
    }

    if (members.size() != state.memberCount())
        LogLine ("members_changed").with ("before", state.memberCount()).with ("now", members.size()).info();

    state.news.membersHash = hash;
    endpointsOfOthers.clear();

    for (const auto& [name, endpoint] : endpoints)
        endpointsOfOthers.push_back (endpoint);

    state.sharing.members = members.size();
    state.retryBudgets.setMostSaved (state.savedRetries());
    noteReaders (members, endpoints);
}

auto Membership::noteReaders (const std::map<std::string, MemberInfo>& members,
                              const std::map<std::string, Endpoint>& endpoints) -> void
{
    readersOfDomain.clear();
    readersElsewhere.clear();
    membersOfDomain.clear();
    auto isReader = false;

    for (const auto& [domain, names] : chooseReaders (members))
        for (const auto& name : names)
            if (name == state.settings.node)
                isReader = true;
            else if (domain == state.settings.failureDomain)
                readersOfDomain.push_back (endpoints.at (name));
            else
                readersElsewhere.push_back (endpoints.at (name));

    for (const auto& [name, endpoint] : endpoints)
        if (members.at (name).failureDomain == state.settings.failureDomain &&
            std::ranges::find (readersOfDomain, endpoint) == readersOfDomain.end())
            membersOfDomain.push_back (endpoint);

    if (isReader != state.news.isReader)
        LogLine (isReader ? "store_reader" : "store_read_by_others")
            .with ("readers", readersOfDomain.size())
            .with ("members", members.size())
            .info();

    state.news.isReader = isReader;
}

} // namespace snowrudder
