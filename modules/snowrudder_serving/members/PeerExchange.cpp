#include "PeerExchange.h"

#include "ReportTimes.h"

#include <algorithm>
#include <array>

namespace snowrudder
{

namespace
{

/** How often a node that has just started looks whether it knows the others; one that knows none by then has none, or can't
    reach the store.
*/
constexpr auto greetingInterval = 20ms;

/** How often loads of replicas are told and news are asked for: a replica of a model begins four requests a second. */
constexpr auto newsInterval = 200ms;

/** A window's counts are told by the readers to each other for as long as it is open and this much longer: a holder of the
    duty has them by then, also where a notice was lost.
*/
constexpr auto keepTellingUsage = Duration (5s);

/** Between two tellings of crashes. What is new is told at once and then twice more: evidence must be everywhere before a request
    is stopped, also where datagrams are lost.
*/
constexpr auto crashInterval = 60ms;

/** How long the loop that tells of crashes waits where nothing wakes it: a success that clears a request does not. */
constexpr auto idleCrashWait = 200ms;

/** A node tells all that it knows of crashes to one that knows less, at most this often. */
constexpr auto allCrashesInterval = Duration (100ms);

/** An account that a node had no request of for so long is left out of its reports: its rate has faded to a tenth. */
constexpr auto idleAccountTime = Duration (5s);

auto toText (const asio::ip::udp::endpoint& endpoint) -> std::string
{
    return endpoint.address().to_string() + ":" + std::to_string (endpoint.port());
}

/** @returns a message of all that is known of crashes; empty where nothing is. */
auto allCrashes (ServingState& state, const Membership& membership, TimePoint now) -> std::string
{
    const CrashNotice notice { state.settings.node, state.crashes.table().all (mostEvidenceTold, now) };
    return notice.evidence.empty() ? std::string() : encodeMessage (notice, membership.secret(), now);
}

} // namespace

PeerExchange::PeerExchange (ServingState& servingState, const Membership& known)
    : state (servingState), membership (known), socket (servingState.loop),
      incarnation (static_cast<std::uint64_t> (wallTimeNow().time_since_epoch().count())),
      crashWake (std::make_shared<Signal> (servingState.loop.get_executor()))
{
    state.crashes.onNews = [wake = crashWake] { wake->notify(); };
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
    asio::co_spawn (state.loop, usageLoop(), asio::detached);
    asio::co_spawn (state.loop, crashLoop(), asio::detached);
    return {};
}

auto PeerExchange::announce (PromptNotice notice) -> void
{
    if (membership.secret().empty())
        return;

    if (! mayAnnounce (promptBudget, notice.tokens, membership.others().size(), SteadyClock::now()))
        return;

    notice.node = state.settings.node;
    const auto datagram = encodeMessage (notice, membership.secret());

    for (const auto& target : membership.others())
        send (datagram, target);
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

        if (error || membership.secret().empty())
            continue;

        auto message = decodeMessage (std::string_view (datagram.data(), size), membership.secret());

        if (! message)
            state.metrics.counter ("snowrudder_strange_datagrams_total").add();
        else if (auto* report = std::get_if<PeerReport> (&*message))
            take (std::move (*report), sender);
        else if (const auto* question = std::get_if<NewsQuestion> (&*message))
            answer (*question, sender);
        else if (auto* told = std::get_if<NewsAnswer> (&*message))
            take (std::move (*told));
        else if (const auto* prompt = std::get_if<PromptNotice> (&*message))
            state.replicas.recordAnnouncedPrompt (prompt->replica, prompt->tokens, SteadyClock::now());
        else if (const auto* usage = std::get_if<UsageNotice> (&*message))
            (usage->isOfRollouts ? state.rollouts.others() : state.usageOfOthers).note (*usage);
        else if (const auto* crashes = std::get_if<CrashNotice> (&*message))
            state.crashes.hear (crashes->evidence, crashes->node, state.role() == ReportRole::reader,
                                SteadyClock::now());
        else
            take (std::get<LoadNotice> (*message));
    }
}

auto PeerExchange::take (PeerReport report, const Endpoint& sender) -> void
{
    const auto own = state.role();

    if (report.node == state.settings.node || ! isWantedReport (own, report.scope, sender == route.reader))
        return;

    const auto now = SteadyClock::now();
    const auto isFirst = state.peers.isFirst (report);

    if (isFirst || report.crashDigest != state.crashes.table().digest (now))
        tellAllCrashes (sender, now);

    if (const auto scope = scopeToAnswer (own, report.scope, isFirst))
        send (encodeMessage (makeReport (*scope, report.node, now), membership.secret()), sender);

    if (noteConfigurationHeard (state.news, state.configuration, report.configurationRevision))
        state.configurationWake->notify();

    if (report.isSettled && ! isSettled (state.sharing, state.peers, now))
    {
        state.quota.adopt (report.admitted, now);
        state.sharing.isAdopted = true;
        LogLine ("limits_adopted")
            .with ("from", report.node)
            .with ("accounts", report.admitted.size())
            .info();
    }

    state.quota.charge (state.peers.note (std::move (report), now), now);
}

auto PeerExchange::answer (const NewsQuestion& question, const Endpoint& sender) -> void
{
    const auto now = SteadyClock::now();
    takeLoads (question.loads, true);
    auto told =
        makeAnswer (question, state.news, state.configuration, state.directory, state.settings.node, now);
    told.loads = state.loads.recent (now);
    told.rollouts = state.rollouts.table.all();
    told.areRolloutsKnown = state.rollouts.table.isKnown;
    send (encodeMessage (told, membership.secret()), sender);
}

auto PeerExchange::take (const LoadNotice& notice) -> void
{
    takeLoads (notice.loads, false);

    for (const auto& rollout : notice.rollouts)
        state.rollouts.take (rollout, notice.node);
}

auto PeerExchange::take (NewsAnswer answer) -> void
{
    const auto now = SteadyClock::now();
    takeLoads (answer.loads, false);
    state.rollouts.table.isKnown = state.rollouts.table.isKnown || answer.areRolloutsKnown;

    for (const auto& rollout : answer.rollouts)
        state.rollouts.take (rollout, answer.node);

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
        const auto now = SteadyClock::now();
        const auto greetsSoon = ! hasGreeted && isNewNode (state.sharing, now);
        co_await pauseFor (state.loop, greetsSoon ? greetingInterval : nextReportIn (now));
        state.quota.noteOthersAsked (askedOfOthers (state.sharing, state.peers, SteadyClock::now()));

        if (! knowsOthers())
            continue;

        const auto sent = SteadyClock::now();
        const auto targets = chooseTargets (sent);
        const auto report = makeReport (scopeToTell (state.role()), {}, sent);
        const auto datagram = encodeMessage (report, membership.secret());

        for (const auto& target : targets)
            send (datagram, target);

        hasGreeted = true;
    }
}

auto PeerExchange::nextReportIn (TimePoint now) const -> Duration
{
    if (! isSettled (state.sharing, state.peers, now))
        return reportIntervalWhenUnsettled;

    return state.quota.isTight (now) ? reportIntervalWhenTight : reportInterval;
}

auto PeerExchange::usageLoop() -> Task<void>
{
    for (;;)
    {
        co_await pauseFor (state.loop, usageInterval);

        if (! knowsOthers())
            continue;

        tellUsage (SteadyClock::now());
        tellRollouts();
    }
}

auto PeerExchange::tellUsage (TimePoint now) -> void
{
    UsageNotice notice;
    notice.node = state.settings.node;
    notice.incarnation = incarnation;
    notice.counts = state.usage.endedAfter (state.trueTime.now (now) - state.settings.usageDue);

    if (! notice.counts.empty())
    {
        const auto datagram = encodeMessage (notice, membership.secret());

        for (const auto& reader : membership.ownReaders())
            send (datagram, reader);
    }

    if (! state.news.isReader)
        return;

    notice.domain = state.settings.failureDomain;
    notice.counts =
        state.usageOfOthers.recentOfDomain (state.usage, state.trueTime.now (now) - keepTellingUsage);

    if (! notice.counts.empty())
        sendToReaders (encodeMessage (notice, membership.secret()));
}

auto PeerExchange::tellRollouts() -> void
{
    UsageNotice notice;
    notice.node = state.settings.node;
    notice.incarnation = incarnation;
    notice.isOfRollouts = true;
    notice.counts = state.rollouts.ownCounts();

    if (! notice.counts.empty())
    {
        const auto datagram = encodeMessage (notice, membership.secret());

        for (const auto& reader : membership.ownReaders())
            send (datagram, reader);
    }

    if (! state.news.isReader)
        return;

    notice.domain = state.settings.failureDomain;
    notice.counts = state.rollouts.domainCounts();

    if (! notice.counts.empty())
        sendToReaders (encodeMessage (notice, membership.secret()));
}

auto PeerExchange::crashLoop() -> Task<void>
{
    std::vector<Endpoint> knownHearers;

    for (;;)
    {
        // A node that was not listed yet as something was told hears it when it is.
        auto hearers = knowsOthers() ? hearersOfCrashes() : std::vector<Endpoint>();

        for (const auto& hearer : hearers)
            if (std::ranges::find (knownHearers, hearer) == knownHearers.end())
                if (const auto datagram = allCrashes (state, membership, SteadyClock::now());
                    ! datagram.empty())
                    send (datagram, hearer);

        knownHearers = std::move (hearers);

        if (! knowsOthers() || ! tellCrashes (SteadyClock::now()))
            co_await crashWake->wait (SteadyClock::now() + idleCrashWait);
        else
            co_await pauseFor (state.loop, crashInterval);
    }
}

auto PeerExchange::tellCrashes (TimePoint now) -> bool
{
    CrashNotice notice { state.settings.node, state.crashes.table().takeToTell (mostEvidenceTold) };

    if (notice.evidence.empty())
        return false;

    const auto datagram = encodeMessage (notice, membership.secret(), now);

    for (const auto& target : hearersOfCrashes())
        send (datagram, target);

    return true;
}

auto PeerExchange::tellAllCrashes (const Endpoint& target, TimePoint now) -> void
{
    if (now - toldAllCrashes < allCrashesInterval)
        return;

    const auto datagram = allCrashes (state, membership, now);

    if (datagram.empty())
        return;

    toldAllCrashes = now;
    send (datagram, target);
}

auto PeerExchange::hearersOfCrashes() const -> std::vector<Endpoint>
{
    switch (state.role())
    {
        case ReportRole::direct:
            return membership.others();
        case ReportRole::member:
            return membership.ownReaders().empty() ? membership.otherReaders() : membership.ownReaders();
        case ReportRole::reader:
            break;
    }

    auto hearers = membership.ownReaders();
    hearers.insert (hearers.end(), membership.otherReaders().begin(), membership.otherReaders().end());
    hearers.insert (hearers.end(), membership.ownMembers().begin(), membership.ownMembers().end());
    return hearers;
}

auto PeerExchange::newsLoop() -> Task<void>
{
    for (;;)
    {
        co_await pauseFor (state.loop, newsInterval);

        if (! knowsOthers())
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
            state.replicas.recordForwardedLoad (load.replica, { load.running, load.waiting, 0.0, false },
                                                now - load.age);
}

auto PeerExchange::tellLoads (TimePoint now) -> void
{
    LoadNotice notice { state.settings.node, state.loads.takeToTell (now), state.rollouts.table.all() };

    if (notice.loads.empty() && notice.rollouts.empty())
        return;

    sendToReaders (encodeMessage (notice, membership.secret()));
}

auto PeerExchange::sendToReaders (const std::string& datagram) -> void
{
    for (const auto* readers : { &membership.ownReaders(), &membership.otherReaders() })
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

        send (encodeMessage (question, membership.secret()), readers[next++ % readers.size()]);
    };

    if (! state.news.isReader)
        ask (membership.ownReaders(), nextOwnReader);

    // What the store itself told lately is as good.
    if (now - std::max (state.news.ownProvenAt, state.news.provenAt) > newsOverdue)
        ask (membership.otherReaders(), nextOtherReader);
}

auto PeerExchange::knowsOthers() const -> bool
{
    return ! membership.secret().empty() && ! membership.others().empty();
}

auto PeerExchange::chooseTargets (TimePoint now) -> std::vector<Endpoint>
{
    const auto own = state.role();
    const auto isDirect = own == ReportRole::direct;

    // What was heard of the same nodes in the other way must not count twice.
    if (isDirect != wasDirect)
        state.quota.charge (state.peers.forgetAll(), now);

    wasDirect = isDirect;

    if (isDirect)
        return membership.others();

    if (own == ReportRole::reader)
    {
        auto readers = membership.ownReaders();
        readers.insert (readers.end(), membership.otherReaders().begin(), membership.otherReaders().end());
        return readers;
    }

    if (keepReportRoute (route, membership.ownReaders(), membership.otherReaders(), state.settings.node,
                         state.peers.lastHeard(), now))
    {
        state.quota.charge (state.peers.forgetAll(), now);
        LogLine ("reports_to_reader")
            .with ("reader", route.reader ? toText (*route.reader) : "none")
            .with ("given_up", route.turn)
            .with ("silent_milliseconds", inMilliseconds (now - state.peers.lastHeard()))
            .info();
    }

    return route.reader ? std::vector { *route.reader } : std::vector<Endpoint>();
}

auto PeerExchange::ownReport (TimePoint now) -> PeerReport
{
    PeerReport report;
    report.node = state.settings.node;
    report.incarnation = incarnation;
    report.sequence = ++sequence;
    report.leaving = state.leaving;
    report.isSettled = isSettled (state.sharing, state.peers, now);
    report.configurationRevision = newestConfigurationKnown (state.news, state.configuration);

    report.crashDigest = state.crashes.table().digest (now);

    if (state.configuration.current)
        report.proofAge = now - state.configuration.provenAt;

    // The levels that a starting node adopts come from readers, where there are any that tell sums.
    report.admitted =
        state.quota.admitted (now, state.role() == ReportRole::member ? idleAccountTime : Duration::max());
    state.work.forEach (now,
                        [&] (const std::string& service, double tokens)
                        {
                            report.work[service] = { tokens, state.replicas.totals (service).inFlight,
                                                     state.replicas.promptSpeed (service) };
                        });

    return report;
}

auto PeerExchange::makeReport (ReportScope scope, std::string_view asker, TimePoint now) -> PeerReport
{
    auto report = ownReport (now);

    switch (scope)
    {
        case ReportScope::nodesOfReader:
            return state.peers.withNodes (std::move (report), now);
        case ReportScope::allOthers:
            return state.peers.withAllBut (std::move (report), asker, now);
        case ReportScope::node:
            break;
    }

    return report;
}

} // namespace snowrudder
