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

} // namespace

PeerExchange::PeerExchange (ServingState& servingState, const Membership& known)
    : state (servingState), membership (known), socket (servingState.loop),
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
    return {};
}

auto PeerExchange::announce (PromptNotice notice) -> void
{
    if (membership.secret().empty())
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
            state.replicas.notePromptHeard (prompt->replica, prompt->tokens, SteadyClock::now());
        else
            takeLoads (std::get<LoadNotice> (*message).loads, false);
    }
}

auto PeerExchange::take (PeerReport report, const Endpoint& sender) -> void
{
    if (report.node == state.settings.node)
        return;

    // A node that has just started is told at once what is left of the shared limits.
    if (state.peers.isFirst (report))
        send (encodeMessage (ownReport(), membership.secret()), sender);

    if (noteConfigurationHeard (state.news, state.configuration, report.configurationRevision))
        state.configurationWake->notify();

    const auto now = SteadyClock::now();

    if (report.isSettled && unsettledTime (state.sharing, now) > Duration::zero())
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
    send (encodeMessage (told, membership.secret()), sender);
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
        const auto now = SteadyClock::now();
        const auto greetsSoon = ! hasGreeted && isNewNode (state.sharing, now);
        co_await pauseFor (state.loop, greetsSoon                  ? greetingInterval
                                       : state.quota.isTight (now) ? reportIntervalWhenTight
                                                                   : reportInterval);
        state.quota.noteOthersAsked (askedOfOthers (state.sharing, state.peers, SteadyClock::now()));

        if (membership.secret().empty() || membership.others().empty())
            continue;

        const auto report = encodeMessage (ownReport(), membership.secret());

        // The first one goes to all: each answers with what it knows of the shared limits.
        for (const auto& target : hasGreeted ? chooseTargets() : membership.others())
            send (report, target);

        hasGreeted = true;
    }
}

auto PeerExchange::newsLoop() -> Task<void>
{
    for (;;)
    {
        co_await pauseFor (state.loop, newsInterval);

        if (membership.secret().empty() || membership.others().empty())
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

    const auto datagram = encodeMessage (notice, membership.secret());

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

auto PeerExchange::chooseTargets() -> std::vector<Endpoint>
{
    const auto& all = membership.others();

    if (all.size() <= mostReportTargets)
        return all;

    std::vector<Endpoint> chosen;

    for (auto count = std::size_t { 0 }; count < mostReportTargets; ++count)
        chosen.push_back (all[nextTarget++ % all.size()]);

    return chosen;
}

auto PeerExchange::ownReport() -> PeerReport
{
    const auto now = SteadyClock::now();
    PeerReport report;
    report.node = state.settings.node;
    report.incarnation = incarnation;
    report.sequence = ++sequence;
    report.leaving = state.leaving;
    report.isSettled = unsettledTime (state.sharing, now) == Duration::zero();

    if (state.configuration.current)
    {
        report.configurationRevision = state.configuration.current->revision;
        report.proofAge = now - state.configuration.provenAt;
    }

    report.admitted = state.quota.admitted (now);
    state.work.forEach (now,
                        [&] (const std::string& service, double tokens)
                        {
                            report.work[service] = { tokens, state.replicas.totals (service).inFlight,
                                                     state.replicas.promptSpeed (service) };
                        });

    // Windows that ended before have been reported, or are late.
    const auto trueNow = state.trueTime.now (now);

    for (const auto& [window, counts] : state.usage.counts())
        if (state.usage.endOf (window) + state.settings.usageDue > trueNow)
            report.usage[window] = counts;

    return report;
}

} // namespace snowrudder
