#include "PeerExchange.h"

#include "ReportCodec.h"

#include <algorithm>
#include <array>

namespace snowrudder
{

namespace
{

/** Twice within the time in which limits must follow demand (1 s). */
constexpr auto sendInterval = 400ms;

/** Datagrams that a node sends a round at most: its cost stays flat as the fleet grows. Targets take turns, so that each
    of 83 other nodes is told within four rounds.
*/
constexpr auto mostTargets = std::size_t { 24 };

/** A member's entry goes this long after its node died. */
constexpr auto memberLease = Duration (12s);
constexpr auto renewInterval = Duration (4s);

/** A watch that stays silent this long is followed by a renewal of the entry's lease and a new list, in time for the
    lease.
*/
constexpr auto watchTime = Duration (5s);

/** After a change among the members others are likely, as when all nodes start: they are taken together. */
constexpr auto gatherTime = 1s;
constexpr auto failurePause = 500ms;

/** @returns the address of IP-NUMBER:PORT text, or nothing where it is none. */
auto datagramEndpoint (std::string_view text) -> std::optional<asio::ip::udp::endpoint>
{
    const auto parsed = parseEndpoint (text);
    return parsed.port() == 0 ? std::nullopt
                              : std::optional (asio::ip::udp::endpoint (parsed.address(), parsed.port()));
}

} // namespace

PeerExchange::PeerExchange (ServingState& servingState, const StateStore& stateStore)
    : state (servingState), store (stateStore), socket (servingState.loop),
      incarnation (static_cast<std::uint64_t> (wallTimeNow().time_since_epoch().count()))
{
}

auto PeerExchange::start() -> std::error_code
{
    const auto own = datagramEndpoint (state.settings.listenPeers);

    if (! own)
        return make_error_code (ErrorKind::settingsInvalid);

    boost::system::error_code error;
    socket.open (own->protocol(), error);

    if (! error)
        socket.bind (*own, error);

    if (error)
        return error;

    asio::co_spawn (state.loop, receiveLoop(), asio::detached);
    asio::co_spawn (state.loop, sendLoop(), asio::detached);
    asio::co_spawn (state.loop, membersLoop(), asio::detached);
    return {};
}

auto PeerExchange::leave() -> Task<void>
{
    if (lease != 0)
        co_await store.endLease (lease);
}

auto PeerExchange::receiveLoop() -> Task<void>
{
    std::array<char, largestDatagram> datagram;
    asio::ip::udp::endpoint sender;

    for (;;)
    {
        const auto [error, size] =
            co_await socket.async_receive_from (asio::buffer (datagram), sender, asTuple);

        if (error == asio::error::operation_aborted)
            co_return;

        if (error || secret.empty())
            continue;

        auto report = decodeReport (std::string_view (datagram.data(), size), secret);

        if (! report)
        {
            state.metrics.counter ("snowrudder_strange_datagrams_total").add();
            continue;
        }

        if (report->node != state.settings.node)
            state.quota.charge (state.peers.note (std::move (*report), SteadyClock::now()));
    }
}

auto PeerExchange::sendLoop() -> Task<void>
{
    for (;;)
    {
        co_await pauseFor (state.loop, sendInterval);

        if (secret.empty() || members.empty())
            continue;

        const auto datagram = encodeReport (ownReport(), secret);

        for (const auto& target : chooseTargets())
        {
            // A lost datagram is made good by the next one.
            boost::system::error_code ignored;
            socket.send_to (asio::buffer (datagram), target, 0, ignored);
        }
    }
}

auto PeerExchange::membersLoop() -> Task<void>
{
    for (;;)
    {
        const auto isInTouch = co_await followMembers();

        if (! isInTouch)
            co_await pauseFor (state.loop, jittered (failurePause));
    }
}

auto PeerExchange::followMembers() -> Task<bool>
{
    if (secret.empty())
        co_await agreeOnSecret();

    if (secret.empty())
        co_return false;

    if (! state.leaving)
        co_await joinMembers();

    const auto listed = co_await store.list (std::string (memberPrefix));

    if (listed.outcome != StoreOutcome::done)
        co_return false;

    takeMembers (listed);
    const auto changed = co_await store.watch (std::string (memberPrefix), listed.revision, watchTime);

    if (! changed.items.empty())
        co_await pauseFor (state.loop, jittered (gatherTime));

    co_return changed.outcome == StoreOutcome::done;
}

auto PeerExchange::agreeOnSecret() -> Task<void>
{
    StoreTransaction propose;
    propose.conditions.push_back ({ std::string (secretKey), 0 });
    StoredItem item;
    item.key = secretKey;
    item.value = toString (makeUuid (wallTimeNow()));
    const auto proposed = item.value;
    propose.puts.push_back (std::move (item));
    const auto result = co_await store.commit (std::move (propose));

    if (result.outcome == StoreOutcome::done)
        secret = proposed;
    else if (result.outcome == StoreOutcome::refused && ! result.items.empty() &&
             result.items.front().revision != 0)
        secret = result.items.front().value;
}

auto PeerExchange::joinMembers() -> Task<void>
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
        LogLine ("membership_lapsed").warning();
    }

    const auto granted = co_await store.grantLease (memberLease);

    if (granted.outcome != StoreOutcome::done)
        co_return;

    StoreTransaction join;
    StoredItem item;
    item.key = std::string (memberPrefix) + state.settings.node;
    item.value = state.settings.listenPeers;
    item.lease = granted.lease;
    join.puts.push_back (std::move (item));
    const auto joined = co_await store.commit (std::move (join));

    if (joined.outcome != StoreOutcome::done)
        co_return;

    lease = granted.lease;
    renewed = now;
    LogLine ("membership_joined").with ("lease", lease).info();
}

auto PeerExchange::takeMembers (const ReadItems& listed) -> void
{
    std::map<std::string, asio::ip::udp::endpoint> found;

    for (const auto& item : listed.items)
    {
        const auto name = item.key.substr (memberPrefix.size());
        const auto endpoint = datagramEndpoint (item.value);

        if (name != state.settings.node && endpoint)
            found.emplace (name, *endpoint);
    }

    if (found.size() != members.size())
        LogLine ("members_changed").with ("before", members.size()).with ("now", found.size()).info();

    members = std::move (found);
    state.memberCount = members.size() + 1;
    state.retryBudgets.setMostSaved (state.savedRetries());
}

auto PeerExchange::chooseTargets() -> std::vector<asio::ip::udp::endpoint>
{
    std::vector<asio::ip::udp::endpoint> all;

    for (const auto& [name, endpoint] : members)
        all.push_back (endpoint);

    if (all.size() <= mostTargets)
        return all;

    std::vector<asio::ip::udp::endpoint> chosen;

    for (auto count = std::size_t { 0 }; count < mostTargets; ++count)
        chosen.push_back (all[nextTarget++ % all.size()]);

    return chosen;
}

auto PeerExchange::ownReport() -> PeerReport
{
    const auto now = SteadyClock::now();
    PeerReport report;
    report.node = state.settings.node;
    report.failureDomain = state.settings.failureDomain;
    report.incarnation = incarnation;
    report.sequence = ++sequence;
    report.leaving = state.leaving;

    if (state.configuration.current)
    {
        report.configurationRevision = state.configuration.current->revision;
        report.proofAge = now - state.configuration.provenAt;
    }

    report.admitted = state.quota.admitted (now);
    state.work.forEach (now,
                        [&] (const std::string& service, double tokens) { report.work[service] = tokens; });

    // Windows that ended before have been reported, or are late.
    const auto trueNow = state.trueTime.now (now);

    for (const auto& [window, counts] : state.usage.counts())
        if (state.usage.endOf (window) + state.settings.usageDue > trueNow)
            report.usage[window] = counts;

    return report;
}

} // namespace snowrudder
