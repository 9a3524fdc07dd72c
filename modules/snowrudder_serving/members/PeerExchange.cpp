#include "PeerExchange.h"

#include "ReportTimes.h"

#include <algorithm>
#include <array>

namespace snowrudder
{

namespace
{

/** How often a node that has just started checks whether it can send its first report. One that still has no peers when
    it no longer counts as new is alone, or can't reach the store.
*/
constexpr auto firstReportInterval = 20ms;

/** The interval of the queries of a node that waits for a snapshot of the replicas, without which it can't serve. */
constexpr auto snapshotQueryInterval = 50ms;

/** How long after a window's end readers go on sending its counts to each other, so that a holder of the duty receives
    them even if a notice was lost.
*/
constexpr auto usageResendTime = Duration (5s);

/** The interval between notices of new crash evidence, or of replicas that leave. New evidence is sent at once and then
    twice more, since it must reach all nodes before a request is stopped, even if datagrams are lost.
*/
constexpr auto newsInterval = 60ms;

/** How long newsLoop() waits for a signal at most. A success that clears a request sends no signal, and so is
    announced within this time.
*/
constexpr auto idleNewsWait = 200ms;

/** The least time between two notices of all crash evidence that are sent to nodes with other evidence. */
constexpr auto allCrashesInterval = Duration (100ms);

/** Accounts without a request for this long are left out of reports; their rate has decayed to a tenth by then. */
constexpr auto idleAccountTime = Duration (5s);

auto toText (const asio::ip::udp::endpoint& endpoint) -> std::string
{
    return endpoint.address().to_string() + ":" + std::to_string (endpoint.port());
}

/** @returns all crash evidence of this node. */
auto allCrashes (ServingState& state, TimePoint now) -> CrashNotice
{
    return { state.settings.node, state.crashes.evidence().all (maxEvidencePerNotice, now) };
}

} // namespace

PeerExchange::PeerExchange (ServingState& servingState, Membership& fleetMembership)
    : state (servingState), membership (fleetMembership), socket (servingState.loop),
      streamExchange (servingState,
                      fleetMembership,
                      [this] (const std::string& datagram, const Endpoint& target)
                      { send (datagram, target); }),
      incarnation (static_cast<std::uint64_t> (wallTimeNow().time_since_epoch().count())),
      newsWake (std::make_shared<Signal> (servingState.loop.get_executor()))
{
    state.crashes.onNewEvidence = [wake = newsWake] { wake->notify(); };
    state.crashes.evidence().isTrialNode = [this] (std::uint64_t part)
    {
        const auto fleet = state.fleetPosition();
        return part % fleet.routers == fleet.position;
    };
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
    asio::co_spawn (state.loop, storeUpdateLoop(), asio::detached);
    asio::co_spawn (state.loop, configurationLoop(), asio::detached);
    asio::co_spawn (state.loop, usageLoop(), asio::detached);
    asio::co_spawn (state.loop, newsLoop(), asio::detached);
    return {};
}

auto PeerExchange::announce (PromptNotice notice) -> void
{
    if (membership.secret().empty())
        return;

    if (! mayAnnounce (promptBudget, notice.tokens, membership.others().size(), BootClock::now()))
        return;

    notice.node = state.settings.node;
    sendTo (membership.others(), notice);
}

auto PeerExchange::receiveLoop() -> Task<void>
{
    std::array<char, maxDatagramSize> datagram;
    Endpoint sender;

    for (;;)
    {
        const auto [error, size] =
            co_await socket.async_receive_from (asio::buffer (datagram), sender, asTuple);

        if (error == asio::error::operation_aborted)
            co_return;

        if (error || membership.secret().empty())
            continue;

        const std::string_view received (datagram.data(), size);

        if (isStreamMessage (received))
        {
            streamExchange.receive (received, sender);
            continue;
        }

        auto message = decodeMessage (received, membership.secret());

        if (! message)
            state.metrics.counter ("snowrudder_strange_datagrams_total").add();
        else if (auto* report = std::get_if<PeerReport> (&*message))
            handle (std::move (*report), sender);
        else if (const auto* query = std::get_if<StoreUpdateQuery> (&*message))
            respond (*query, sender);
        else if (auto* response = std::get_if<StoreUpdateResponse> (&*message))
            handle (std::move (*response), sender);
        else if (const auto* prompt = std::get_if<PromptNotice> (&*message))
            state.replicas.recordAnnouncedPrompt (prompt->replica, prompt->tokens, BootClock::now());
        else if (const auto* usage = std::get_if<UsageNotice> (&*message))
            (usage->isOfRollouts ? state.rollouts.others() : state.usageOfOthers).record (*usage);
        else if (const auto* crashes = std::get_if<CrashNotice> (&*message))
            state.crashes.receiveEvidence (crashes->evidence, crashes->node,
                                           state.role() == ReportRole::reader, BootClock::now());
        else if (const auto* leaving = std::get_if<LeavingNotice> (&*message))
            handle (*leaving);
        else if (const auto* rest = std::get_if<RestNotice> (&*message))
            handle (*rest);
        else if (const auto* asked = std::get_if<ConfigurationQuery> (&*message))
            sendTo ({ sender }, answerConfigurationQuery (state.sending, state.configuration, *asked, sender,
                                                          state.settings.node, BootClock::now()));
        else if (auto* part = std::get_if<ConfigurationPart> (&*message))
            handle (std::move (*part), sender);
        else
            handle (std::get<LoadNotice> (*message));
    }
}

auto PeerExchange::handle (PeerReport report, const Endpoint& sender) -> void
{
    const auto own = state.role();

    if (report.node == state.settings.node ||
        ! shouldAcceptReport (own, report.scope, sender == route.reader))
        return;

    const auto now = BootClock::now();
    recordRelayNodes (report, sender, now);
    const auto isFirst = state.peers.isFirst (report);

    if (isFirst || report.crashDigest != state.crashes.evidence().digest (now))
        sendAllCrashes (sender, now);

    if (const auto scope = scopeToRespond (own, report.scope, isFirst))
        sendTo ({ sender }, makeResponse (*scope, report, isFirst, now));

    if (recordPeerConfigurationRevision (state.storeUpdates, state.configuration,
                                         report.configurationRevision))
        state.configurationWake->notify();

    if (configurationNeed (state.storeUpdates, state.configuration))
        state.transferWake->notify();

    if (report.isSettled &&
        lacksLevels (state.sharing, report.part, isSettled (state.sharing, state.peers, now)))
    {
        state.quota.adopt (report.admitted, now);
        state.sharing.hasAdoptedLevels = true;
        state.sharing.adoptedSlices |= slicesOf (report.part);
        LogLine ("limits_adopted")
            .with ("from", report.node)
            .with ("accounts", report.admitted.size())
            .info();
    }

    state.quota.charge (state.peers.record (std::move (report), now), now);
}

auto PeerExchange::recordRelayNodes (const PeerReport& report, const Endpoint& sender, TimePoint now) -> void
{
    auto passedOn = report.relayNodes;
    std::erase (passedOn, datagramEndpoint (state.settings.listenPeers));
    recordRelayReport (state.relays, sender, ! report.arePathsLost && ! report.leaving, passedOn,
                       randomNumber(), now);
}

auto PeerExchange::respond (const StoreUpdateQuery& query, const Endpoint& sender) -> void
{
    const auto now = BootClock::now();
    recordLoads (query.loads, true);
    const auto isForSnapshot = query.directoryRevision == 0 || query.snapshotRevision != 0;
    const auto size = isForSnapshot ? maxSnapshotBytesPerResponse : maxChangeBytesPerResponse;
    auto response = makeStoreUpdateResponse (query, state.storeUpdates, state.configuration, state.directory,
                                             state.settings.node, now, size);

    if (! isForSnapshot)
        response.loads = state.loads.recent (now);

    response.rollouts = state.rollouts.table.all();
    response.areRolloutsKnown = state.rollouts.table.isLoaded;
    auto datagram = encodeMessage (response, membership.secret(), now);

    if (datagram.size() > maxDatagramSize)
    {
        // The loads come again with the next response.
        response.loads.clear();
        datagram = encodeMessage (response, membership.secret(), now);
    }

    if (datagram.size() > maxDatagramSize)
    {
        LogLine ("store_update_too_large")
            .with ("revision", query.directoryRevision)
            .with ("bytes", datagram.size())
            .with ("allowed", maxDatagramSize)
            .warning();
        // The node lists the replicas instead.
        response.changes = {};
        response.changes.revision = state.directory.revision;
        datagram = encodeMessage (response, membership.secret(), now);
    }

    send (datagram, sender);
}

auto PeerExchange::handle (const LoadNotice& notice) -> void
{
    recordLoads (notice.loads, false);

    for (const auto& rollout : notice.rollouts)
        state.rollouts.merge (rollout, notice.node);
}

auto PeerExchange::handle (const LeavingNotice& notice) -> void
{
    const auto now = BootClock::now();
    const auto shouldForward = state.role() == ReportRole::reader;
    auto hasNews = false;

    for (const auto leaving : notice.incarnations)
        if (state.showLeaving (leaving, "node", notice.node, now) && shouldForward)
        {
            addLeavingNews (state.leavingNews, leaving, true, now);
            hasNews = true;
        }

    if (hasNews)
        newsWake->notify();
}

auto PeerExchange::handle (const RestNotice& notice) -> void
{
    state.replicas.recordRest (notice.incarnation, notice.rest, BootClock::now());
    LogLine ("rest_heard")
        .with ("replica", nameOf (state.directory, notice.incarnation))
        .with ("from", notice.node)
        .with ("rest_milliseconds", inMilliseconds (notice.rest))
        .info();
}

auto PeerExchange::passOnRest (const Endpoint& node, RestNotice notice) -> void
{
    if (membership.secret().empty())
        return;

    notice.node = state.settings.node;
    sendTo ({ node }, notice);
}

auto PeerExchange::handle (StoreUpdateResponse response, const Endpoint& sender) -> void
{
    const auto now = BootClock::now();
    recordLoads (response.loads, false);
    state.rollouts.table.isLoaded = state.rollouts.table.isLoaded || response.areRolloutsKnown;

    for (const auto& rollout : response.rollouts)
        state.rollouts.merge (rollout, response.node);

    const auto heldRevision = response.configurationRevision;
    const auto effect = applyStoreUpdateResponse (state.storeUpdates, state.configuration, state.directory,
                                                  std::move (response), now);

    if (! effect.isMatched)
        state.metrics.counter ("snowrudder_unmatched_store_updates_total").add();

    if (effect.members)
        membership.applySummary();

    if (effect.directory)
        state.publishDirectory (now);

    if (effect.newerConfiguration)
        state.configurationWake->notify();

    if (effect.isMatched)
        recordHolder (state.transfer, sender, heldRevision, now);

    if (configurationNeed (state.storeUpdates, state.configuration))
        state.transferWake->notify();

    const auto& readers = membership.ownReaders();

    if (effect.hasMore && effect.isResponderBusy && ! readers.empty())
        sendQuery (readers[nextOwnReader++ % readers.size()], now);
    else if (effect.hasMore)
        sendQuery (sender, now);
}

auto PeerExchange::announceConfiguration() -> void
{
    if (membership.secret().empty())
        return;

    const auto held = announceHeldConfiguration (state.configuration, state.settings.node);

    // The node that handed it on has its proof.
    if (state.configurationSource)
        sendQuery (*state.configurationSource, BootClock::now());
    else
        sendToReaders (held);

    const auto own = datagramEndpoint (state.settings.listenPeers);

    if (state.storeUpdates.isReader && own)
        sendTo (membersToTell (membership.ownMembers(), membership.ownReaders(), *own), held);
}

auto PeerExchange::handle (ConfigurationPart part, const Endpoint& sender) -> void
{
    const auto now = BootClock::now();
    const auto revision = part.revision;
    const auto held = state.configuration.current ? state.configuration.current->revision : 0;
    recordHolder (state.transfer, sender, revision, now);

    if (recordPeerConfigurationRevision (state.storeUpdates, state.configuration, revision))
        state.configurationWake->notify();

    const auto node = part.node;

    switch (applyConfigurationPart (state.transfer, std::move (part), sender, held, now))
    {
        case PartEffect::progress:
            queryConfiguration (now);
            return;
        case PartEffect::complete:
            state.configurationWake->notify();
            return;
        case PartEffect::corrupt:
            LogLine ("configuration_part_refused")
                .with ("reason", "hash")
                .with ("from", node)
                .with ("revision", revision)
                .warning();
            break;
        case PartEffect::none:
            break;
    }

    if (configurationNeed (state.storeUpdates, state.configuration))
        state.transferWake->notify();
}

auto PeerExchange::configurationLoop() -> Task<void>
{
    for (;;)
    {
        const auto now = BootClock::now();

        if (hasPeers())
            queryConfiguration (now);

        const auto need = configurationNeed (state.storeUpdates, state.configuration);
        co_await state.transferWake->wait (nextQueryTime (state.transfer, need, now));
    }
}

auto PeerExchange::queryConfiguration (TimePoint now) -> void
{
    const auto need = configurationNeed (state.storeUpdates, state.configuration);
    recordNeed (state.transfer, need, randomFraction(), now);
    auto readers = membership.ownReaders();
    readers.insert (readers.end(), membership.otherReaders().begin(), membership.otherReaders().end());
    const auto next = nextConfigurationQuery (state.transfer, need, readers, state.settings.node, now);

    if (next)
        sendTo ({ next->target }, next->query);
}

auto PeerExchange::sendLoop() -> Task<void>
{
    for (;;)
    {
        const auto now = BootClock::now();
        const auto isFirstReportPending = ! hasSentFirstReport && isRecentlyStarted (state.sharing, now);
        co_await pauseFor (state.loop,
                           isFirstReportPending ? firstReportInterval : timeUntilNextReport (now));
        state.quota.setDemandOfOthers (demandOfOthers (state.sharing, state.peers, BootClock::now()));

        if (! hasPeers())
            continue;

        const auto sent = BootClock::now();
        const auto targets = chooseReportTargets (sent);
        auto report = makeReport (scopeToSend (state.role()), {}, sent);
        applySelection (report, selectForReport (report, reportedTotals));
        sendTo (targets, report);
        hasSentFirstReport = true;
    }
}

auto PeerExchange::timeUntilNextReport (TimePoint now) const -> Duration
{
    if (! isSettled (state.sharing, state.peers, now))
        return reportIntervalWhenUnsettled;

    return state.quota.hasLowBucket (now) ? reportIntervalWhenTight : reportInterval;
}

auto PeerExchange::usageLoop() -> Task<void>
{
    for (;;)
    {
        co_await pauseFor (state.loop, usageInterval);

        if (! hasPeers())
            continue;

        sendUsage (BootClock::now());
        sendRolloutCounts();
    }
}

auto PeerExchange::sendUsage (TimePoint now) -> void
{
    UsageNotice notice;
    notice.node = state.settings.node;
    notice.incarnation = incarnation;
    notice.counts = state.usage.endedAfter (state.trueTime.now (now) - state.settings.usageReportDelay);

    if (! notice.counts.empty())
        sendTo (membership.ownCollectors(), notice);

    if (! state.isCollector)
        return;

    notice.domain = state.settings.failureDomain;
    notice.counts =
        state.usageOfOthers.recentDomainCounts (state.usage, state.trueTime.now (now) - usageResendTime);

    if (! notice.counts.empty())
        sendToCollectors (notice);
}

auto PeerExchange::sendRolloutCounts() -> void
{
    UsageNotice notice;
    notice.node = state.settings.node;
    notice.incarnation = incarnation;
    notice.isOfRollouts = true;
    notice.counts = state.rollouts.ownCounts();

    if (! notice.counts.empty())
        sendTo (membership.ownCollectors(), notice);

    if (! state.isCollector)
        return;

    notice.domain = state.settings.failureDomain;
    notice.counts = state.rollouts.domainCounts();

    if (! notice.counts.empty())
        sendToCollectors (notice);
}

auto PeerExchange::newsLoop() -> Task<void>
{
    std::vector<Endpoint> knownRecipients;

    for (;;)
    {
        // Sends all evidence to nodes that weren't listed yet when it was first sent.
        auto recipients = hasPeers() ? newsRecipients() : std::vector<Endpoint>();

        std::vector<Endpoint> newRecipients;

        for (const auto& recipient : recipients)
            if (std::ranges::find (knownRecipients, recipient) == knownRecipients.end())
                newRecipients.push_back (recipient);

        if (! newRecipients.empty())
        {
            if (const auto notice = allCrashes (state, BootClock::now()); ! notice.evidence.empty())
                sendTo (newRecipients, notice);

            if (const LeavingNotice notice { state.settings.node, allLeavingNews (state.directory) };
                ! notice.incarnations.empty())
                sendTo (newRecipients, notice);
        }

        knownRecipients = std::move (recipients);
        const auto hasSentCrashes = hasPeers() && sendNewCrashes();
        const auto hasSentLeaving = hasPeers() && sendLeavingNews (BootClock::now());

        if (hasSentCrashes || hasSentLeaving)
            co_await pauseFor (state.loop, newsInterval);
        else
            co_await newsWake->wait (BootClock::now() + idleNewsWait);
    }
}

auto PeerExchange::sendNewCrashes() -> bool
{
    CrashNotice notice { state.settings.node, state.crashes.evidence().takeUnsent (maxEvidencePerNotice) };

    if (notice.evidence.empty())
        return false;

    sendTo (newsRecipients(), notice);
    return true;
}

auto PeerExchange::sendLeavingNews (TimePoint now) -> bool
{
    const LeavingNotice notice { state.settings.node,
                                 takeLeavingNews (state.leavingNews, state.directory, now) };

    if (notice.incarnations.empty())
        return false;

    sendTo (newsRecipients(), notice);
    return true;
}

auto PeerExchange::sendAllCrashes (const Endpoint& target, TimePoint now) -> void
{
    if (now - allCrashesSentAt < allCrashesInterval)
        return;

    const auto notice = allCrashes (state, now);

    if (notice.evidence.empty())
        return;

    allCrashesSentAt = now;
    sendTo ({ target }, notice);
}

auto PeerExchange::newsRecipients() const -> std::vector<Endpoint>
{
    switch (state.role())
    {
        case ReportRole::direct:
            return membership.others();
        case ReportRole::member:
            return membership.ownCollectors().empty() ? membership.otherCollectors()
                                                      : membership.ownCollectors();
        case ReportRole::reader:
            break;
    }

    auto recipients = membership.ownCollectors();
    recipients.insert (recipients.end(), membership.otherCollectors().begin(),
                       membership.otherCollectors().end());
    recipients.insert (recipients.end(), membership.ownMembers().begin(), membership.ownMembers().end());
    return recipients;
}

auto PeerExchange::storeUpdateLoop() -> Task<void>
{
    for (;;)
    {
        co_await pauseFor (state.loop,
                           state.storeUpdates.awaitsSnapshot ? snapshotQueryInterval : storeUpdateInterval);

        if (! hasPeers())
            continue;

        const auto now = BootClock::now();

        if (state.storeUpdates.isReader)
            sendLoads (now);

        queryStoreUpdates (now);
    }
}

auto PeerExchange::recordLoads (const std::vector<SharedLoad>& loads, bool shouldForward) -> void
{
    const auto now = BootClock::now();

    for (const auto& load : loads)
    {
        if (! state.loads.record (load, shouldForward, now))
            continue;

        state.recordRateLimit (load.replica, load.rateLimit, now - load.age, now);
        state.recordRejectionLimit (load.replica, load.rejectionLimit, now - load.age);

        if (load.hasLoad)
            state.replicas.recordForwardedLoad (load.replica, { load.running, load.waiting, 0.0, false },
                                                now - load.age);
    }
}

auto PeerExchange::sendLoads (TimePoint now) -> void
{
    LoadNotice notice { state.settings.node, state.loads.takeForwardable (now), state.rollouts.table.all() };

    if (notice.loads.empty() && notice.rollouts.empty())
        return;

    sendToReaders (notice);
}

auto PeerExchange::sendToReaders (const NodeMessage& message) -> void
{
    sendTo (membership.ownReaders(), message);
    sendTo (membership.otherReaders(), message);
}

auto PeerExchange::sendToCollectors (const NodeMessage& message) -> void
{
    sendTo (membership.ownCollectors(), message);
    sendTo (membership.otherCollectors(), message);
}

auto PeerExchange::sendTo (const std::vector<Endpoint>& targets, const NodeMessage& message) -> void
{
    if (targets.empty())
        return;

    for (const auto& datagram : encodeDatagrams (message, membership.secret()))
        for (const auto& target : targets)
            send (datagram, target);
}

auto PeerExchange::send (const std::string& datagram, const Endpoint& target) -> void
{
    // Errors are ignored: the next datagram replaces a lost one.
    boost::system::error_code ignored;
    socket.send_to (asio::buffer (datagram), target, 0, ignored);
}

auto PeerExchange::queryStoreUpdates (TimePoint now) -> void
{
    const auto sendToNext = [&] (const std::vector<Endpoint>& readers, std::size_t& next)
    {
        if (! readers.empty())
            sendQuery (readers[next++ % readers.size()], now);
    };

    const auto& storeUpdates = state.storeUpdates;

    if (! mustQueryReader (storeUpdates, now))
        return;

    if (! storeUpdates.isReader)
        sendToNext (membership.ownReaders(), nextOwnReader);

    // Recent responses of the store itself are as good as a reader's.
    const auto ownProvenAt = std::min (storeUpdates.ownProvenAt, storeUpdates.ownDirectoryProvenAt);

    if (now - std::max (ownProvenAt, storeUpdates.provenAt) > storeUpdateOverdueAge)
        sendToNext (membership.otherReaders(), nextOtherReader);
}

auto PeerExchange::sendQuery (const Endpoint& reader, TimePoint now) -> void
{
    auto query = makeStoreUpdateQuery (state.storeUpdates, state.directory, state.settings.node, now);

    if (! state.storeUpdates.isReader)
        query.loads = state.loads.takeForwardable (now);

    send (encodeMessage (query, membership.secret(), now), reader);
}

auto PeerExchange::hasPeers() const -> bool
{
    return ! membership.secret().empty() && ! membership.others().empty();
}

auto PeerExchange::chooseReportTargets (TimePoint now) -> std::vector<Endpoint>
{
    const auto own = state.role();

    // Reports received along the previous route cover the same nodes, and must not be counted twice.
    if (own != lastRole)
        state.quota.charge (state.peers.forgetAll(), now);

    lastRole = own;

    if (own == ReportRole::direct)
        return membership.others();

    if (own == ReportRole::reader)
    {
        auto collectors = membership.ownCollectors();
        collectors.insert (collectors.end(), membership.otherCollectors().begin(),
                           membership.otherCollectors().end());
        return collectors;
    }

    if (updateReportRoute (route, membership.ownCollectors(), membership.otherCollectors(),
                           state.settings.node, state.peers.lastReceived(), now))
    {
        state.quota.charge (state.peers.forgetAll(), now);
        LogLine ("reports_to_reader")
            .with ("reader", route.reader ? toText (*route.reader) : "none")
            .with ("given_up", route.failovers)
            .with ("silent_milliseconds", inMilliseconds (now - state.peers.lastReceived()))
            .info();
    }

    return route.reader ? std::vector { *route.reader } : std::vector<Endpoint>();
}

auto PeerExchange::makeOwnReport (TimePoint now, const AccountSelection& selection) -> PeerReport
{
    PeerReport report;
    report.node = state.settings.node;
    report.incarnation = incarnation;
    report.sequence = ++sequence;
    report.leaving = state.leaving;
    report.isSettled = isSettled (state.sharing, state.peers, now);
    report.configurationRevision = newestKnownConfigurationRevision (state.storeUpdates, state.configuration);

    report.crashDigest = state.crashes.evidence().digest (now);
    report.arePathsLost = arePathsLost (state.paths);
    report.demandNodes = 1;

    if (state.configuration.current)
        report.proofAge = now - state.configuration.provenAt;

    // Members leave out idle accounts. Other nodes report all, since a starting node adopts the levels that these send.
    report.admitted = state.quota.admitted (
        now, state.role() == ReportRole::member ? idleAccountTime : Duration::max(), selection);
    state.work.forEach (now,
                        [&] (const std::string& service, double tokens)
                        {
                            report.work[service] = { tokens, state.replicas.totals (service).inFlight,
                                                     state.replicas.promptSpeed (service) };
                        });
    state.requestRates.forEach (now, [&] (const std::string& service, double perSecond)
                                { report.work[service].requestsPerSecond = perSecond; });

    return report;
}

auto PeerExchange::makeReport (ReportScope scope,
                               std::string_view requester,
                               TimePoint now,
                               const AccountSelection& selection) -> PeerReport
{
    auto report = makeOwnReport (now, selection);

    if (scope != ReportScope::node)
    {
        const auto isForReader = scope == ReportScope::nodesOfReader;
        report.relayNodes = sampleRelayNodes (state.relays, isForReader, randomNumber(), now);
    }

    switch (scope)
    {
        case ReportScope::nodesOfReader:
            return state.peers.withNodes (std::move (report), now);
        case ReportScope::allOthers:
            return state.peers.withAllBut (std::move (report), requester, now, selection);
        case ReportScope::node:
            break;
    }

    return report;
}

auto PeerExchange::makeResponse (ReportScope scope, const PeerReport& report, bool isFirst, TimePoint now)
    -> PeerReport
{
    // A node that has just started needs the figures of all accounts, and nodes of equal role get no other response.
    if (isFirst || scope != ReportScope::allOthers)
        return makeReport (scope, report.node, now);

    const auto accounts = std::max (state.quota.accountCount(), state.peers.accountCount());
    const auto selection =
        selectForResponse (report, accounts, state.quota.lowAccounts (now, maxOtherAccounts));
    return makeReport (scope, report.node, now, selection);
}

} // namespace snowrudder
