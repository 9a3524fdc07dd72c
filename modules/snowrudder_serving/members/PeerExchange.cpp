#include "PeerExchange.h"

#include <algorithm>
#include <array>

namespace snowrudder
{

namespace
{

/** Twice within the time in which limits must follow demand (1 s). */
constexpr auto sendInterval = 400ms;

/** The same while an account comes near its limit: what is admitted between two reports goes over it. */
constexpr auto sendIntervalWhenTight = 200ms;

/** How often loads of replicas are told and news are asked for: a replica of a model begins four requests a second. */
constexpr auto newsInterval = 200ms;

/** Datagrams that a node sends a round at most: its cost stays flat as the fleet grows. Targets take turns, so that each
    of 83 other nodes is told within four rounds.
*/
constexpr auto mostTargets = std::size_t { 24 };

/** A member's entry goes this long after its node died. */
constexpr auto memberLease = Duration (12s);
constexpr auto renewInterval = Duration (4s);

/** The members are listed this often. A list that may be seconds old does: nodes that are not heard don't count. */
constexpr auto listInterval = 2s;
constexpr auto failurePause = 1s;

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
    asio::co_spawn (state.loop, newsLoop(), asio::detached);
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
    Endpoint sender;

    for (;;)
    {
        const auto [error, size] =
            co_await socket.async_receive_from (asio::buffer (datagram), sender, asTuple);

        if (error == asio::error::operation_aborted)
            co_return;

        if (error || secret.empty())
            continue;

        auto message = decodeMessage (std::string_view (datagram.data(), size), secret);

        if (! message)
            state.metrics.counter ("snowrudder_strange_datagrams_total").add();
        else if (auto* report = std::get_if<PeerReport> (&*message))
            take (std::move (*report));
        else if (const auto* question = std::get_if<NewsQuestion> (&*message))
            answer (*question, sender);
        else if (auto* told = std::get_if<NewsAnswer> (&*message))
            take (std::move (*told));
        else
            takeLoads (std::get<LoadNotice> (*message).loads, false);
    }
}

auto PeerExchange::take (PeerReport report) -> void
{
    if (report.node == state.settings.node)
        return;

    if (noteConfigurationHeard (state.news, state.configuration, report.configurationRevision))
        state.configurationWake->notify();

    state.quota.charge (state.peers.note (std::move (report), SteadyClock::now()));
}

auto PeerExchange::answer (const NewsQuestion& question, const Endpoint& sender) -> void
{
    const auto now = SteadyClock::now();
    takeLoads (question.loads, true);
    auto told = makeAnswer (question, state.configuration, state.directory, state.settings.node, now);
    told.loads = state.loads.recent (now);
    send (encodeMessage (told, secret), sender);
}

auto PeerExchange::take (NewsAnswer answer) -> void
{
    const auto now = SteadyClock::now();
    takeLoads (answer.loads, false);
    const auto effect =
        takeAnswer (state.news, state.configuration, state.directory, std::move (answer), now);

    if (effect.directory)
        state.publishDirectory (now);

    if (effect.newerConfiguration)
        state.configurationWake->notify();
}

auto PeerExchange::sendLoop() -> Task<void>
{
    for (;;)
    {
        const auto isTight = state.quota.isTight (SteadyClock::now());
        co_await pauseFor (state.loop, isTight ? sendIntervalWhenTight : sendInterval);

        if (secret.empty() || members.empty())
            continue;

        const auto report = encodeMessage (ownReport(), secret);

        for (const auto& target : chooseTargets())
            send (report, target);
    }
}

auto PeerExchange::newsLoop() -> Task<void>
{
    for (;;)
    {
        co_await pauseFor (state.loop, newsInterval);

        if (secret.empty() || members.empty())
            continue;

        const auto now = SteadyClock::now();

        if (state.news.isReader)
            tellLoads (now);

        askForNews (now);
    }
}

auto PeerExchange::takeLoads (const std::vector<SharedLoad>& loads, bool isToTell) -> void
{
    const auto now = SteadyClock::now();

    for (const auto& load : loads)
        if (state.loads.note (load, isToTell, now))
            state.replicas.noteLoadHeard (load.replica, { load.running, load.waiting, 0.0, false },
                                          now - load.age);
}

auto PeerExchange::tellLoads (TimePoint now) -> void
{
    LoadNotice notice { state.settings.node, state.loads.takeToTell (now) };

    if (notice.loads.empty())
        return;

    const auto datagram = encodeMessage (notice, secret);

    for (const auto* readers : { &ownReaders, &otherReaders })
        for (const auto& reader : *readers)
            send (datagram, reader);
}

auto PeerExchange::send (const std::string& datagram, const Endpoint& target) -> void
{
    // A lost datagram is made good by the next one.
    boost::system::error_code ignored;
    socket.send_to (asio::buffer (datagram), target, 0, ignored);
}

auto PeerExchange::askForNews (TimePoint now) -> void
{
    const auto ask = [&] (const std::vector<Endpoint>& readers, std::size_t& next)
    {
        if (readers.empty())
            return;

        auto question = makeQuestion (state.news, state.directory, state.settings.node, now);

        if (! state.news.isReader)
            question.loads = state.loads.takeToTell (now);

        send (encodeMessage (question, secret), readers[next++ % readers.size()]);
    };

    if (! state.news.isReader)
        ask (ownReaders, nextOwnReader);

    // What the store itself told lately is as good.
    if (now - std::max (state.configuration.provenAt, state.news.provenAt) > newsOverdue)
        ask (otherReaders, nextOtherReader);
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

    const auto listed = co_await store.list (std::string (memberPrefix), ListAge::secondsOld);

    if (listed.outcome != StoreOutcome::done)
        co_return false;

    takeMembers (listed);
    co_await pauseFor (state.loop, jittered (listInterval));
    co_return true;
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
    item.value = writeMember ({ state.settings.listenPeers, state.settings.failureDomain });
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
    std::map<std::string, Endpoint> found;
    known.clear();
    known[state.settings.node] = { state.settings.listenPeers, state.settings.failureDomain };

    for (const auto& item : listed.items)
    {
        const auto name = item.key.substr (memberPrefix.size());
        auto member = readMember (item.value);
        const auto endpoint = datagramEndpoint (member.endpoint);

        if (name == state.settings.node || ! endpoint)
            continue;

        found.emplace (name, *endpoint);
        known.emplace (name, std::move (member));
    }

    if (found.size() != members.size())
        LogLine ("members_changed").with ("before", members.size()).with ("now", found.size()).info();

    members = std::move (found);
    state.memberCount = members.size() + 1;
    state.retryBudgets.setMostSaved (state.savedRetries());
    noteReaders();
}

auto PeerExchange::noteReaders() -> void
{
    ownReaders.clear();
    otherReaders.clear();
    auto isReader = false;

    for (const auto& [domain, names] : chooseReaders (known))
        for (const auto& name : names)
            if (name == state.settings.node)
                isReader = true;
            else if (domain == state.settings.failureDomain)
                ownReaders.push_back (members.at (name));
            else
                otherReaders.push_back (members.at (name));

    if (isReader != state.news.isReader)
        LogLine (isReader ? "store_reader" : "store_read_by_others")
            .with ("readers", ownReaders.size())
            .with ("members", known.size())
            .info();

    state.news.isReader = isReader;
}

auto PeerExchange::chooseTargets() -> std::vector<Endpoint>
{
    std::vector<Endpoint> all;

    for (const auto& [name, endpoint] : members)
        all.push_back (endpoint);

    if (all.size() <= mostTargets)
        return all;

    std::vector<Endpoint> chosen;

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
                        [&] (const std::string& service, double tokens) {
                            report.work[service] = { tokens, state.replicas.inFlight (service) };
                        });

    // Windows that ended before have been reported, or are late.
    const auto trueNow = state.trueTime.now (now);

    for (const auto& [window, counts] : state.usage.counts())
        if (state.usage.endOf (window) + state.settings.usageDue > trueNow)
            report.usage[window] = counts;

    return report;
}

} // namespace snowrudder
