#include "DatagramCodec.h"

#include "node_messages.pb.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <span>

namespace snowrudder
{

namespace
{

/** Length of the keyed digest that precedes the message, in hexadecimal digits. */
constexpr auto digestLength = std::size_t { 64 };

auto isAmount (double value) -> bool
{
    return std::isfinite (value) && value >= 0.0;
}

auto asMilliseconds (Duration duration) -> std::uint32_t
{
    // Rounds up, so that the receiver never takes the value for younger than it is.
    const auto whole = std::chrono::ceil<std::chrono::milliseconds> (duration).count();
    return static_cast<std::uint32_t> (
        std::clamp<std::int64_t> (whole, 0, std::numeric_limits<std::int32_t>::max()));
}

constexpr auto portBits = 16U;

/** The largest number of relay nodes that is read from a report. */
constexpr auto maxRelaysRead = static_cast<int> (2 * relayNodesPerReaderReport);

/** The largest number of holders of a configuration that is read from a part. */
constexpr auto maxHoldersRead = 8;

/** @returns the number that stands for a node's address in reports. */
auto toNumber (const RelayNodes::Endpoint& node) -> std::uint64_t
{
    return std::uint64_t { node.address().to_v4().to_uint() } << portBits | node.port();
}

auto toEndpoint (std::uint64_t number) -> RelayNodes::Endpoint
{
    return { boost::asio::ip::address_v4 (static_cast<std::uint32_t> (number >> portBits)),
             static_cast<std::uint16_t> (number) };
}

auto write (const PeerReport& report, schema::NodeReport& message) -> void
{
    message.set_node (report.node);
    message.set_incarnation (report.incarnation);
    message.set_sequence (report.sequence);
    message.set_configuration_revision (report.configurationRevision);
    message.set_proof_age_milliseconds (asMilliseconds (report.proofAge));
    message.set_leaving (report.leaving);
    message.set_settled (report.isSettled);
    message.set_scope (static_cast<std::uint32_t> (report.scope));
    message.set_nodes (report.nodes);
    message.set_crash_digest (report.crashDigest);
    message.set_paths_lost (report.arePathsLost);

    for (const auto& node : report.relayNodes)
        if (node.address().is_v4())
            message.add_relay (toNumber (node));

    if (report.demandNodes)
        message.set_demand_nodes (*report.demandNodes);

    if (report.part.count > 1)
    {
        message.set_part (report.part.index);
        message.set_parts (report.part.count);
    }

    for (const auto& [account, use] : report.admitted)
    {
        auto* entry = message.add_use();
        entry->set_account (account);
        entry->set_admitted (use.tokens);
        entry->set_rate (static_cast<float> (use.tokensPerSecond));
        entry->set_asked (static_cast<float> (use.requestedPerSecond));

        if (use.level)
            entry->set_level (static_cast<float> (*use.level));
    }

    for (const auto& [service, work] : report.work)
    {
        auto* entry = message.add_work();
        entry->set_service (service);
        entry->set_tokens_per_second (work.tokensPerSecond);
        entry->set_in_flight (work.inFlight);

        if (work.promptSpeed)
            entry->set_prompt_speed (static_cast<float> (*work.promptSpeed));

        entry->set_requests_per_second (static_cast<float> (work.requestsPerSecond));
    }
}

auto write (const UsageNotice& notice, schema::UsageNotice& message) -> void
{
    message.set_node (notice.node);
    message.set_incarnation (notice.incarnation);
    message.set_failure_domain (notice.domain);
    message.set_of_rollouts (notice.isOfRollouts);

    for (const auto& [window, counts] : notice.counts)
    {
        auto* entry = message.add_usage();
        entry->set_window (window);

        for (const auto& [account, count] : counts)
        {
            auto* figure = entry->add_counts();
            figure->set_account (account);
            figure->set_amount (static_cast<double> (count));
        }
    }
}

auto write (const std::vector<SharedLoad>& loads, schema::ReplicaLoads& message) -> void
{
    for (const auto& load : loads)
    {
        message.add_replica (load.replica);
        message.add_running (load.running);
        message.add_waiting (load.waiting);
        message.add_age_milliseconds (asMilliseconds (load.age));
        const auto index = static_cast<std::uint32_t> (message.replica_size() - 1);

        if (! load.hasLoad)
            message.add_without_load (index);

        if (load.rejectionLimit)
        {
            message.add_bearing_rejections (index);
            message.add_rejections_per_second (*load.rejectionLimit);
        }

        if (! load.rateLimit)
            continue;

        message.add_limited (index);
        message.add_requests_per_second (*load.rateLimit);
    }
}

template <typename Message>
auto writeRollouts (const std::vector<Rollout>& rollouts, TimePoint now, Message& message) -> void
{
    for (const auto& rollout : rollouts)
    {
        auto* written = message.add_rollouts();
        written->set_service (rollout.service);
        written->set_target_version (rollout.targetVersion);
        written->set_number (rollout.number);
        written->set_period_milliseconds (asMilliseconds (rollout.period));
        written->set_age_milliseconds (asMilliseconds (now - rollout.orderedAt));
        written->set_stage (static_cast<std::uint32_t> (rollout.stage));
    }
}

auto write (const StoreUpdateQuery& query, schema::NewsQuestion& message) -> void
{
    message.set_node (query.node);
    message.set_number (query.number);
    message.set_directory_revision (query.directoryRevision);
    message.set_members_revision (query.membersRevision);
    message.set_members_hash (query.membersHash);
    message.set_snapshot_revision (query.snapshotRevision);
    write (query.loads, *message.mutable_loads());
}

auto write (const MembersSummary& members, schema::MembersSummary& message) -> void
{
    message.set_count (static_cast<std::uint32_t> (members.count));

    for (const auto& reader : members.readers)
    {
        auto* entry = message.add_readers();
        entry->set_endpoint (reader.endpoint);
        entry->set_failure_domain (reader.failureDomain);
        entry->set_collector (reader.isCollector);
    }
}

auto write (const StoreUpdateResponse& response, TimePoint now, schema::NewsAnswer& message) -> void
{
    message.set_rollouts_known (response.areRolloutsKnown);
    writeRollouts (response.rollouts, now, message);
    message.set_node (response.node);
    message.set_number (response.number);
    message.set_configuration_revision (response.configurationRevision);
    message.set_proof_age_milliseconds (asMilliseconds (response.proofAge));
    message.set_directory_age_milliseconds (asMilliseconds (response.directoryAge));
    message.set_directory_revision (response.changes.revision);
    message.set_complete (response.changes.isComplete);
    message.set_missed_changes (response.missedChanges);
    message.set_members_hash (response.membersHash);
    message.set_members_revision (response.membersRevision);
    message.set_snapshot_revision (response.snapshotRevision);

    if (response.members)
        write (*response.members, *message.mutable_members());

    message.set_keep_missing_milliseconds (asMilliseconds (response.keepMissing));
    message.set_more_changes (response.changes.hasMore);
    write (response.loads, *message.mutable_loads());

    for (const auto& entry : response.changes.entries)
    {
        auto* written = message.add_entries();
        written->set_key (entry.key);
        written->set_revision (entry.revision);
        written->set_name (entry.info.name);
        written->set_service (entry.info.service);
        written->set_endpoint (entry.info.endpoint);
        written->set_failure_domain (entry.info.failureDomain);
        written->set_slots (entry.info.slots);
        written->set_leaving (entry.isLeaving);
        written->set_reclaimable (entry.isReclaimable);
        written->set_born (entry.info.born);
        written->set_version (entry.info.version);
    }

    for (const auto& removed : response.changes.removed)
    {
        auto* written = message.add_removed();
        written->set_key (removed.key);
        written->set_revision (removed.removal.revision);
        written->set_unreadable (removed.removal.isUnreadable);
    }

    for (const auto& change : response.changes.known)
    {
        message.add_known_keys (change.keyHash);
        message.add_known_revisions_below (response.changes.revision - change.revision);
        message.add_known_removed (change.isRemoved);
    }
}

auto write (const LoadNotice& notice, TimePoint now, schema::LoadNotice& message) -> void
{
    writeRollouts (notice.rollouts, now, message);
    message.set_node (notice.node);
    write (notice.loads, *message.mutable_loads());
}

auto write (const LeavingNotice& notice, schema::LeavingNotice& message) -> void
{
    message.set_node (notice.node);

    for (const auto incarnation : notice.incarnations)
        message.add_incarnations (incarnation);
}

auto write (const RestNotice& notice, schema::RestNotice& message) -> void
{
    message.set_node (notice.node);
    message.set_incarnation (notice.incarnation);
    message.set_rest_milliseconds (asMilliseconds (notice.rest));
}

auto write (const PromptNotice& notice, schema::PromptNotice& message) -> void
{
    message.set_node (notice.node);
    message.set_replica (notice.replica);
    message.set_tokens (static_cast<std::uint32_t> (std::lround (notice.tokens)));
}

auto write (const ReplicaCrash& crash, TimePoint now, schema::ReplicaCrash& message) -> void
{
    message.set_replica (crash.replica);
    message.set_age_milliseconds (asMilliseconds (now - crash.at));
    message.set_names_one_start (crash.identifiesIncarnation);
    message.set_request (crash.request);
    message.set_ran_milliseconds (asMilliseconds (crash.ranFor));
}

auto write (const CrashNotice& notice, TimePoint now, schema::CrashNotice& message) -> void
{
    message.set_node (notice.node);

    for (const auto& evidence : notice.evidence)
    {
        auto* written = message.add_evidence();
        written->set_high (evidence.fingerprint.high);
        written->set_low (evidence.fingerprint.low);
        written->set_account (evidence.account);
        written->set_of_prompt_part (evidence.subject == CrashSubject::promptPart);
        written->set_replicas (evidence.replicas);
        written->set_seen_milliseconds (asMilliseconds (now - evidence.lastSeen));

        if (evidence.lastSuccess)
            written->set_succeeded_milliseconds (asMilliseconds (now - *evidence.lastSuccess));

        for (const auto& crash : evidence.crashes)
            write (crash, now, *written->add_crashes());

        for (const auto& end : pendingUnconfirmedCrashes (evidence, now))
            write (end, now, *written->add_open_ends());
    }
}

auto write (const ConfigurationQuery& query, schema::ConfigurationQuestion& message) -> void
{
    message.set_node (query.node);
    message.set_number (query.number);
    message.set_revision (query.revision);
    message.set_offset (query.offset);
}

auto write (const ConfigurationPart& part, schema::ConfigurationPart& message) -> void
{
    message.set_node (part.node);
    message.set_number (part.number);
    message.set_revision (part.revision);
    message.set_size (part.size);
    message.set_hash (part.hash);
    message.set_offset (part.offset);
    message.set_content (part.bytes);

    for (const auto& holder : part.holders)
        if (holder.address().is_v4())
            message.add_holder (toNumber (holder));
}

auto read (const schema::ConfigurationQuestion& message) -> ConfigurationQuery
{
    return { message.node(), message.number(), message.revision(), message.offset() };
}

auto read (const schema::ConfigurationPart& message) -> ConfigurationPart
{
    ConfigurationPart part { message.node(), message.number(), message.revision(), message.size(),
                             message.hash(), message.offset(), message.content(),  {} };

    for (auto index = 0; index < std::min (message.holder_size(), maxHoldersRead); ++index)
        part.holders.push_back (toEndpoint (message.holder (index)));

    return part;
}

auto readScope (std::uint32_t number) -> ReportScope
{
    if (number == static_cast<std::uint32_t> (ReportScope::nodesOfReader))
        return ReportScope::nodesOfReader;

    return number == static_cast<std::uint32_t> (ReportScope::allOthers) ? ReportScope::allOthers
                                                                         : ReportScope::node;
}

auto read (const schema::NodeReport& message) -> PeerReport
{
    PeerReport report;
    report.node = message.node();
    report.incarnation = message.incarnation();
    report.sequence = message.sequence();
    report.configurationRevision = message.configuration_revision();
    report.proofAge = std::chrono::milliseconds (message.proof_age_milliseconds());
    report.leaving = message.leaving();
    report.isSettled = message.settled();
    report.scope = readScope (message.scope());
    report.nodes = message.nodes();
    report.crashDigest = message.crash_digest();
    report.arePathsLost = message.paths_lost();

    for (auto index = 0; index < std::min (message.relay_size(), maxRelaysRead); ++index)
        report.relayNodes.push_back (toEndpoint (message.relay (index)));

    if (message.has_demand_nodes())
        report.demandNodes = message.demand_nodes();

    if (message.parts() > 0)
        report.part = { message.part(), message.parts() };

    for (const auto& entry : message.use())
    {
        if (! isAmount (entry.admitted()) || ! isAmount (entry.rate()) || ! isAmount (entry.asked()))
            continue;

        auto& use = report.admitted[entry.account()];
        use = { entry.admitted(), entry.rate(), entry.asked(), std::nullopt };

        if (entry.has_level() && std::isfinite (entry.level()))
            use.level = entry.level();
    }

    for (const auto& entry : message.work())
        if (isAmount (entry.tokens_per_second()) && isAmount (entry.in_flight()))
        {
            auto& work = report.work[entry.service()];
            work = { entry.tokens_per_second(), entry.in_flight(), std::nullopt };

            if (entry.has_prompt_speed() && isAmount (entry.prompt_speed()) && entry.prompt_speed() > 0.0F)
                work.promptSpeed = entry.prompt_speed();

            if (isAmount (entry.requests_per_second()))
                work.requestsPerSecond = entry.requests_per_second();
        }

    return report;
}

auto read (const schema::UsageNotice& message) -> UsageNotice
{
    UsageNotice notice;
    notice.node = message.node();
    notice.incarnation = message.incarnation();
    notice.domain = message.failure_domain();
    notice.isOfRollouts = message.of_rollouts();

    for (const auto& entry : message.usage())
    {
        auto& counts = notice.counts[entry.window()];

        for (const auto& figure : entry.counts())
            if (isAmount (figure.amount()))
                counts[figure.account()] = static_cast<std::uint64_t> (figure.amount());
    }

    return notice;
}

auto read (const schema::ReplicaCrash& message, TimePoint now) -> ReplicaCrash
{
    const std::chrono::milliseconds age (message.age_milliseconds());
    return { message.replica(), now - age, message.names_one_start(), message.request(),
             std::chrono::milliseconds (message.ran_milliseconds()) };
}

auto read (const schema::CrashEvidence& message, TimePoint now) -> CrashEvidence
{
    using std::chrono::milliseconds;

    CrashEvidence evidence;
    evidence.fingerprint = { message.high(), message.low() };
    evidence.subject = message.of_prompt_part() ? CrashSubject::promptPart : CrashSubject::request;
    evidence.account = message.account();
    evidence.replicas = message.replicas();
    evidence.lastSeen = now - milliseconds (message.seen_milliseconds());

    if (message.has_succeeded_milliseconds())
        evidence.lastSuccess = now - milliseconds (message.succeeded_milliseconds());

    for (const auto& crash : message.crashes())
        evidence.crashes.push_back (read (crash, now));

    for (const auto& end : message.open_ends())
        evidence.unconfirmedCrashes.push_back (read (end, now));

    return evidence;
}

auto read (const schema::CrashNotice& message, TimePoint now) -> CrashNotice
{
    CrashNotice notice;
    notice.node = message.node();

    for (const auto& evidence : message.evidence())
        notice.evidence.push_back (read (evidence, now));

    return notice;
}

auto read (const schema::ReplicaLoads& message) -> std::vector<SharedLoad>
{
    std::vector<SharedLoad> loads;
    const auto count = std::min ({ message.replica_size(), message.running_size(), message.waiting_size(),
                                   message.age_milliseconds_size() });

    loads.reserve (static_cast<std::size_t> (count));

    for (auto index = 0; index < count; ++index)
        loads.push_back ({ message.replica (index), message.running (index), message.waiting (index),
                           std::chrono::milliseconds (message.age_milliseconds (index)) });

    for (const auto index : message.without_load())
        if (index < loads.size())
            loads[index].hasLoad = false;

    const auto limits = std::min (message.limited_size(), message.requests_per_second_size());

    for (auto entry = 0; entry < limits; ++entry)
        if (message.limited (entry) < loads.size())
            loads[message.limited (entry)].rateLimit = message.requests_per_second (entry);

    const auto bearing = std::min (message.bearing_rejections_size(), message.rejections_per_second_size());

    for (auto entry = 0; entry < bearing; ++entry)
        if (message.bearing_rejections (entry) < loads.size())
            loads[message.bearing_rejections (entry)].rejectionLimit = message.rejections_per_second (entry);

    return loads;
}

auto read (const schema::NewsQuestion& message) -> StoreUpdateQuery
{
    return { message.node(),
             message.number(),
             message.directory_revision(),
             read (message.loads()),
             message.members_revision(),
             message.members_hash(),
             message.snapshot_revision() };
}

auto readMembers (const schema::NewsAnswer& message) -> MembersSummary
{
    MembersSummary members {
        message.members_revision(), message.members_hash(), message.members().count(), {}
    };

    for (const auto& reader : message.members().readers())
        members.readers.push_back ({ reader.endpoint(), reader.failure_domain(), reader.collector() });

    return members;
}

auto read (const schema::ReplicaEntry& message) -> DirectoryEntry
{
    DirectoryEntry entry;
    entry.key = message.key();
    entry.revision = message.revision();
    entry.info.name = message.name();
    entry.info.vm = entry.info.name;
    entry.info.service = message.service();
    entry.info.endpoint = message.endpoint();
    entry.info.failureDomain = message.failure_domain();
    entry.info.slots = message.slots();
    entry.isLeaving = message.leaving();
    entry.isReclaimable = message.reclaimable();
    entry.info.born = message.born();
    entry.info.version = message.version();
    return entry;
}

template <typename Message>
auto readRollouts (const Message& message, TimePoint now) -> std::vector<Rollout>
{
    std::vector<Rollout> rollouts;

    for (const auto& received : message.rollouts())
    {
        if (received.stage() > static_cast<std::uint32_t> (RolloutStage::rolledBack))
            continue;

        rollouts.push_back ({ received.service(), received.target_version(), received.number(),
                              std::chrono::milliseconds (received.period_milliseconds()),
                              now - std::chrono::milliseconds (received.age_milliseconds()),
                              static_cast<RolloutStage> (received.stage()) });
    }

    return rollouts;
}

auto read (const schema::NewsAnswer& message, TimePoint now) -> StoreUpdateResponse
{
    StoreUpdateResponse response;
    response.rollouts = readRollouts (message, now);
    response.areRolloutsKnown = message.rollouts_known();
    response.node = message.node();
    response.number = message.number();
    response.configurationRevision = message.configuration_revision();
    response.proofAge = std::chrono::milliseconds (message.proof_age_milliseconds());
    response.directoryAge = std::chrono::milliseconds (message.directory_age_milliseconds());
    response.changes.revision = message.directory_revision();
    response.changes.isComplete = message.complete();
    response.changes.hasMore = message.more_changes();
    response.missedChanges = message.missed_changes();
    response.membersHash = message.members_hash();
    response.membersRevision = message.members_revision();
    response.snapshotRevision = message.snapshot_revision();

    if (message.has_members())
        response.members = readMembers (message);

    response.keepMissing = std::chrono::milliseconds (message.keep_missing_milliseconds());
    response.loads = read (message.loads());

    for (const auto& entry : message.entries())
        response.changes.entries.push_back (read (entry));

    for (const auto& removed : message.removed())
        response.changes.removed.push_back ({ removed.key(), { removed.revision(), removed.unreadable() } });

    const auto count = std::min (
        { message.known_keys_size(), message.known_revisions_below_size(), message.known_removed_size() });

    for (auto index = 0; index < count; ++index)
        if (message.known_revisions_below (index) <= message.directory_revision())
            response.changes.known.push_back (
                { message.known_keys (index),
                  message.directory_revision() - message.known_revisions_below (index),
                  message.known_removed (index) });

    return response;
}

/** Divides a list in two halves.

    @returns whether there were at least two elements
*/
template <typename Element>
auto moveHalf (std::vector<Element>& from, std::vector<Element>& to) -> bool
{
    if (from.size() < 2)
        return false;

    const auto middle = from.begin() + static_cast<std::ptrdiff_t> (from.size() / 2);
    to.assign (std::make_move_iterator (middle), std::make_move_iterator (from.end()));
    from.erase (middle, from.end());
    return true;
}

/** Divides a message in two halves, each of which is valid by itself.

    @returns whether it could be divided
*/
auto split (PeerReport& report, PeerReport& second) -> bool
{
    const auto halves = halvesOf (report.part);

    if (! halves || report.admitted.size() < 2)
        return false;

    second = report;
    report.part = halves->first;
    second.part = halves->second;
    // Both halves keep the work, which each report states anew.
    const auto isOfSecond = [&second] (const auto& entry)
    { return sliceOf (entry.first) % second.part.count >= second.part.count / 2; };
    const auto isOfFirst = [&isOfSecond] (const auto& entry) { return ! isOfSecond (entry); };
    std::erase_if (report.admitted, isOfSecond);
    std::erase_if (second.admitted, isOfFirst);
    return true;
}

auto split (UsageNotice& notice, UsageNotice& second) -> bool
{
    std::vector<std::pair<std::uint64_t, std::pair<const std::string, std::uint64_t>>> figures;

    for (const auto& [window, counts] : notice.counts)
        for (const auto& figure : counts)
            figures.emplace_back (window, figure);

    if (figures.size() < 2)
        return false;

    second = notice;
    second.counts.clear();

    for (const auto& [window, figure] : std::span (figures).subspan (figures.size() / 2))
    {
        second.counts[window].insert (figure);
        notice.counts[window].erase (figure.first);
    }

    return true;
}

auto split (CrashNotice& notice, CrashNotice& second) -> bool
{
    second.node = notice.node;
    return moveHalf (notice.evidence, second.evidence);
}

auto split (LeavingNotice& notice, LeavingNotice& second) -> bool
{
    second.node = notice.node;
    return moveHalf (notice.incarnations, second.incarnations);
}

auto split (LoadNotice& notice, LoadNotice& second) -> bool
{
    second.node = notice.node;
    return moveHalf (notice.loads, second.loads);
}

/** Messages of which the receiver expects a single one, or that always fit. */
template <typename Message>
auto split (Message&, Message&) -> bool
{
    return false;
}

auto appendDatagrams (NodeMessage message,
                      std::string_view secret,
                      TimePoint now,
                      std::vector<std::string>& datagrams) -> void
{
    auto datagram = encodeMessage (message, secret, now);

    if (datagram.size() <= maxDatagramSize)
    {
        datagrams.push_back (std::move (datagram));
        return;
    }

    std::optional<NodeMessage> second;
    std::visit (
        [&second] (auto& first)
        {
            std::decay_t<decltype (first)> half;

            if (split (first, half))
                second = std::move (half);
        },
        message);

    if (! second)
    {
        LogLine ("datagram_too_large")
            .with ("message", message.index())
            .with ("bytes", datagram.size())
            .with ("allowed", maxDatagramSize)
            .error();
        return;
    }

    appendDatagrams (std::move (message), secret, now, datagrams);
    appendDatagrams (std::move (*second), secret, now, datagrams);
}

} // namespace

auto encodeCrashes (const CrashNotice& notice, TimePoint now) -> std::string
{
    schema::CrashNotice message;
    write (notice, now, message);
    return message.SerializeAsString();
}

auto decodeCrashes (std::string_view bytes, TimePoint now) -> std::optional<CrashNotice>
{
    schema::CrashNotice message;

    if (! message.ParseFromArray (bytes.data(), static_cast<int> (bytes.size())) || message.node().empty())
        return {};

    return read (message, now);
}

auto encodeMessage (const NodeMessage& message, std::string_view secret, TimePoint now) -> std::string
{
    schema::NodeDatagram datagram;

    if (const auto* report = std::get_if<PeerReport> (&message))
        write (*report, *datagram.mutable_report());
    else if (const auto* query = std::get_if<StoreUpdateQuery> (&message))
        write (*query, *datagram.mutable_question());
    else if (const auto* response = std::get_if<StoreUpdateResponse> (&message))
        write (*response, now, *datagram.mutable_answer());
    else if (const auto* prompt = std::get_if<PromptNotice> (&message))
        write (*prompt, *datagram.mutable_prompt());
    else if (const auto* usage = std::get_if<UsageNotice> (&message))
        write (*usage, *datagram.mutable_usage());
    else if (const auto* crashes = std::get_if<CrashNotice> (&message))
        write (*crashes, now, *datagram.mutable_crashes());
    else if (const auto* leaving = std::get_if<LeavingNotice> (&message))
        write (*leaving, *datagram.mutable_leaving());
    else if (const auto* rest = std::get_if<RestNotice> (&message))
        write (*rest, *datagram.mutable_rest());
    else if (const auto* configurationQuery = std::get_if<ConfigurationQuery> (&message))
        write (*configurationQuery, *datagram.mutable_configuration_question());
    else if (const auto* part = std::get_if<ConfigurationPart> (&message))
        write (*part, *datagram.mutable_configuration_part());
    else
        write (std::get<LoadNotice> (message), now, *datagram.mutable_loads());

    const auto text = datagram.SerializeAsString();
    return keyedDigest (secret, text) + text;
}

auto encodeDatagrams (const NodeMessage& message, std::string_view secret, TimePoint now)
    -> std::vector<std::string>
{
    std::vector<std::string> datagrams;
    appendDatagrams (message, secret, now, datagrams);
    return datagrams;
}

auto decodeMessage (std::string_view datagram, std::string_view secret, TimePoint now)
    -> std::optional<NodeMessage>
{
    if (datagram.size() < digestLength || datagram.size() > maxDatagramSize)
        return {};

    const auto text = datagram.substr (digestLength);

    if (! isKeyedDigest (datagram.substr (0, digestLength), secret, text))
        return {};

    schema::NodeDatagram message;

    if (! message.ParseFromArray (text.data(), static_cast<int> (text.size())))
        return {};

    if (message.has_report() && ! message.report().node().empty())
    {
        auto report = read (message.report());
        return isValid (report.part) ? std::optional<NodeMessage> (std::move (report)) : std::nullopt;
    }

    if (message.has_prompt() && ! message.prompt().node().empty())
        return PromptNotice { message.prompt().node(), message.prompt().replica(),
                              static_cast<double> (message.prompt().tokens()) };

    if (message.has_usage() && ! message.usage().node().empty())
        return read (message.usage());

    if (message.has_question() && ! message.question().node().empty())
        return read (message.question());

    if (message.has_answer() && ! message.answer().node().empty())
        return read (message.answer(), now);

    if (message.has_loads() && ! message.loads().node().empty())
        return LoadNotice { message.loads().node(), read (message.loads().loads()),
                            readRollouts (message.loads(), now) };

    if (message.has_crashes() && ! message.crashes().node().empty())
        return read (message.crashes(), now);

    if (message.has_leaving() && ! message.leaving().node().empty())
        return LeavingNotice { message.leaving().node(),
                               { message.leaving().incarnations().begin(),
                                 message.leaving().incarnations().end() } };

    if (message.has_rest() && ! message.rest().node().empty())
        return RestNotice { message.rest().node(), message.rest().incarnation(),
                            std::chrono::milliseconds (message.rest().rest_milliseconds()) };

    if (message.has_configuration_question() && ! message.configuration_question().node().empty())
        return read (message.configuration_question());

    if (message.has_configuration_part() && ! message.configuration_part().node().empty())
        return read (message.configuration_part());

    return {};
}

} // namespace snowrudder
