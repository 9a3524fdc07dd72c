#include "ConfigurationTransfer.h"

#include <algorithm>
#include <utility>

namespace snowrudder
{

namespace
{

/** The largest number of holders that are remembered. */
constexpr auto maxHolders = std::size_t { 16 };

/** The number of nodes that one that has no time names in its place. */
constexpr auto maxNamedHolders = std::size_t { 3 };

/** The largest number of queries whose response is still accepted. */
constexpr auto maxSentQueries = std::size_t { 8 };

/** How long a response to the first query may take. All followers of a reader ask it at once: 32 parts of 6 KB take 80 ms
    on a link of 20 Mbit/s.
*/
constexpr auto firstResponseTime = Duration (150ms);

/** Bounds of the time for a response. It is twice what the latest took, and grows by half while none comes. Nodes send
    no more than `sendingRate`, so that queries that are sent again don't fill a link that is busy.
*/
constexpr auto leastResponseTime = Duration (100ms);
constexpr auto longestResponseTime = Duration (800ms);

/** Pause before the next query after a response without a part. It doubles with each, up to the longest: nodes that have no
    time have some soon, and nodes that hold none are told when they can get one.
*/
constexpr auto refusalPause = Duration (10ms);
constexpr auto longestBusyPause = Duration (40ms);
constexpr auto longestRefusalPause = Duration (640ms);

/** How often a node that needs nothing checks whether it does; whatever makes it need something wakes it earlier. */
constexpr auto idleInterval = Duration (1s);

/** The largest total size of what is received. */
constexpr auto maxHandedSize = std::uint64_t { maxHandedText };

auto nextResponseTime (const ConfigurationTransfer& transfer) -> Duration
{
    if (transfer.lastResponseTime == Duration::zero())
        return firstResponseTime;

    return std::clamp (2 * transfer.lastResponseTime, leastResponseTime, longestResponseTime);
}

auto dropPartial (ConfigurationTransfer& transfer) -> void
{
    transfer.partial = {};
    transfer.size = 0;
}

/** @returns the node to ask: one that holds the configuration, else the readers in turn. */
auto nextSource (ConfigurationTransfer& transfer,
                 std::uint64_t revision,
                 const std::vector<ConfigurationTransfer::Endpoint>& readers)
    -> std::optional<ConfigurationTransfer::Endpoint>
{
    std::vector<ConfigurationTransfer::Endpoint> holders;

    for (const auto& holder : transfer.holders)
        if (holder.revision >= revision)
            holders.push_back (holder.node);

    // Numbers start at random, so that nodes that know the same holders ask different ones.
    if (! holders.empty())
        return holders[combineHashes (transfer.lastNumber, revision) % holders.size()];

    if (readers.empty())
        return {};

    return readers[transfer.nextReader++ % readers.size()];
}

/** Forgets what a node said that it holds, so that another one is asked. */
auto forgetHolder (ConfigurationTransfer& transfer, const ConfigurationTransfer::Endpoint& node) -> void
{
    std::erase_if (transfer.holders, [&node] (const auto& holder) { return holder.node == node; });
}

/** Closes a query.

    @returns when it was sent, or nothing if it isn't among the latest
*/
auto takeQuery (ConfigurationTransfer& transfer, std::uint64_t number) -> std::optional<TimePoint>
{
    const auto found = std::ranges::find (transfer.sent, number, &ConfigurationTransfer::SentQuery::number);

    if (found == transfer.sent.end())
        return {};

    const auto sent = found->sent;
    transfer.sent.erase (found);
    return sent;
}

/** @returns whether other nodes may be asked now. */
auto mayAskNodes (const ConfigurationTransfer& transfer, const ConfigurationNeed& need, TimePoint now) -> bool
{
    return ! need.readsStore || transfer.isStoreFailing ||
           (transfer.neededSince && now >= *transfer.neededSince + storeHeadStart);
}

/** Applies a response of a node that holds no such configuration, or has no time: another node is asked. */
auto applyRefusal (ConfigurationTransfer& transfer,
                   const ConfigurationPart& part,
                   const ConfigurationTransfer::Endpoint& sender,
                   std::uint64_t heldRevision,
                   TimePoint now) -> void
{
    if (transfer.source != sender)
        return;

    const auto isBusy = part.revision > heldRevision;
    const auto longest = isBusy ? longestBusyPause : longestRefusalPause;
    const auto doublings = std::min<std::size_t> (transfer.refusals, 6);
    transfer.source.reset();
    transfer.responseTime = Duration::zero();

    for (const auto& holder : part.holders)
        recordHolder (transfer, holder, part.revision, now);

    transfer.refusals = doublings + 1;
    transfer.queryDue = now + std::min (refusalPause * (1U << doublings), longest);

    // The others have more time.
    if (! isBusy || ! part.holders.empty())
        forgetHolder (transfer, sender);
}

/** Fills up the bytes that a node may send now. */
auto refill (ConfigurationSending& sending, TimePoint now) -> void
{
    const std::chrono::duration<double> passed = now - sending.budgetAt;
    sending.budget = std::min (sendingBurst, sending.budget + passed.count() * sendingRate);
    sending.budgetAt = now;
}

/** @returns nodes that hold a configuration since this node sent it to them, other ones each time. */
auto nextServed (ConfigurationSending& sending,
                 std::uint64_t revision,
                 const ConfigurationTransfer::Endpoint& asker) -> std::vector<ConfigurationTransfer::Endpoint>
{
    std::vector<ConfigurationTransfer::Endpoint> named;

    for (auto tried = sending.served.size(); tried > 0 && named.size() < maxNamedHolders; --tried)
    {
        const auto& served = sending.served[++sending.nextServed % sending.served.size()];

        if (served.revision == revision && served.node != asker)
            named.push_back (served.node);
    }

    return named;
}

/** @returns whether a part is of the configuration that is being received. */
auto isOfPartial (const ConfigurationTransfer& transfer, const ConfigurationPart& part) -> bool
{
    return transfer.size != 0 && part.revision == transfer.partial.revision && part.size == transfer.size &&
           part.hash == transfer.partial.hash;
}

} // namespace

auto recordNeed (ConfigurationTransfer& transfer,
                 const std::optional<ConfigurationNeed>& need,
                 double random,
                 TimePoint now) -> void
{
    if (! need)
    {
        transfer.neededSince.reset();
        transfer.storeReads = 0;
        transfer.source.reset();
        dropPartial (transfer);
        return;
    }

    if (transfer.neededSince && transfer.heldRevision == need->heldRevision)
        return;

    transfer.neededSince = now;
    transfer.heldRevision = need->heldRevision;
    transfer.queryDue = now;
    transfer.storeReadDue = now + handOnTimeout;

    if (need->reliesOnReaders)
        transfer.storeReadDue += std::chrono::duration_cast<Duration> (random * firstStoreReadSpread);
}

auto recordStoreRead (ConfigurationTransfer& transfer,
                      const ConfigurationNeed& need,
                      double random,
                      TimePoint now) -> void
{
    ++transfer.storeReads;
    transfer.storeReadDue = now + handOnTimeout;

    if (! need.reliesOnReaders)
        return;

    const auto spread = transfer.storeReads == 1 ? firstStoreReadSpread : longestStoreReadSpread;
    transfer.storeReadDue += std::chrono::duration_cast<Duration> (random * spread);
}

auto isStoreReadDue (const ConfigurationTransfer& transfer, TimePoint now) -> bool
{
    return transfer.neededSince && ! transfer.received && now >= transfer.storeReadDue &&
           now >= transfer.progressedAt + handOnTimeout;
}

auto recordHolder (ConfigurationTransfer& transfer,
                   const ConfigurationTransfer::Endpoint& node,
                   std::uint64_t revision,
                   TimePoint now) -> void
{
    if (revision == 0)
        return;

    const auto isAskingHolder =
        std::ranges::any_of (transfer.holders, [&] (const auto& holder)
                             { return transfer.source == holder.node && holder.revision >= revision; });

    const auto isKnown = std::ranges::any_of (transfer.holders, [&] (const auto& holder)
                                              { return holder.node == node && holder.revision >= revision; });

    forgetHolder (transfer, node);
    transfer.holders.push_back ({ node, revision });

    if (transfer.holders.size() > maxHolders)
        transfer.holders.pop_front();

    // Until now a node was asked that may hold none.
    if (transfer.size == 0 && transfer.neededSince && ! isAskingHolder && ! isKnown)
    {
        transfer.source.reset();
        transfer.responseTime = Duration::zero();
        transfer.refusals = 0;
        transfer.queryDue = now;
    }
}

auto nextConfigurationQuery (ConfigurationTransfer& transfer,
                             const std::optional<ConfigurationNeed>& need,
                             const std::vector<ConfigurationTransfer::Endpoint>& readers,
                             const std::string& node,
                             TimePoint now) -> std::optional<AddressedConfigurationQuery>
{
    if (! need || transfer.received || now < transfer.queryDue || ! mayAskNodes (transfer, *need, now))
        return {};

    // A part that is overdue is asked for at another node, if there is one.
    if (transfer.source && transfer.responseTime != Duration::zero())
    {
        forgetHolder (transfer, *transfer.source);
        transfer.source.reset();
    }

    const auto revision = transfer.size != 0 ? transfer.partial.revision : need->revision;

    if (! transfer.source)
        transfer.source = nextSource (transfer, revision, readers);

    if (! transfer.source)
        return {};

    transfer.responseTime = transfer.responseTime == Duration::zero()
                                ? nextResponseTime (transfer)
                                : std::min (transfer.responseTime * 3 / 2, longestResponseTime);
    transfer.queryDue = now + transfer.responseTime;
    transfer.sent.push_back ({ ++transfer.lastNumber, now });

    if (transfer.sent.size() > maxSentQueries)
        transfer.sent.pop_front();

    return AddressedConfigurationQuery {
        *transfer.source, { node, transfer.lastNumber, revision, transfer.partial.bytes.size() }
    };
}

auto nextQueryTime (const ConfigurationTransfer& transfer,
                    const std::optional<ConfigurationNeed>& need,
                    TimePoint now) -> TimePoint
{
    if (! need || transfer.received)
        return now + idleInterval;

    auto next = transfer.queryDue;

    if (! mayAskNodes (transfer, *need, now) && transfer.neededSince)
        next = std::max (next, *transfer.neededSince + storeHeadStart);

    // No node to ask is known if the time has passed.
    return next > now ? next : now + firstResponseTime;
}

auto answerConfigurationQuery (ConfigurationSending& sending,
                               const ConfigurationState& configuration,
                               const ConfigurationQuery& query,
                               const ConfigurationTransfer::Endpoint& asker,
                               std::string node,
                               TimePoint now) -> ConfigurationPart
{
    auto part = announceHeldConfiguration (configuration, std::move (node));
    part.number = query.number;
    const auto isBefore = query.revision != 0 && query.revision == configuration.handedBefore.revision;
    const auto& handed = isBefore ? configuration.handedBefore : configuration.handed;

    if (handed.bytes.empty() || handed.revision < query.revision)
        return part;

    const auto continues = handed.revision == query.revision && query.offset < handed.bytes.size();
    const auto offset = continues ? query.offset : 0;
    refill (sending, now);
    part.revision = handed.revision;

    if (sending.budget < (offset == 0 ? keptForBegun * sendingBurst : 0.0))
    {
        part.holders = nextServed (sending, handed.revision, asker);
        return part;
    }

    part.size = handed.bytes.size();
    part.hash = handed.hash;
    part.offset = offset;
    part.bytes = handed.bytes.substr (offset, configurationPartSize);
    sending.budget -= static_cast<double> (part.bytes.size());

    if (offset + part.bytes.size() == part.size)
    {
        sending.served.push_back ({ asker, handed.revision });

        if (sending.served.size() > maxHolders)
            sending.served.pop_front();
    }

    return part;
}

auto announceHeldConfiguration (const ConfigurationState& configuration, std::string node)
    -> ConfigurationPart
{
    ConfigurationPart part;
    part.node = std::move (node);
    part.revision = configuration.handed.revision;
    return part;
}

auto applyConfigurationPart (ConfigurationTransfer& transfer,
                             ConfigurationPart part,
                             const ConfigurationTransfer::Endpoint& sender,
                             std::uint64_t heldRevision,
                             TimePoint now) -> PartEffect
{
    const auto sent = takeQuery (transfer, part.number);

    if (! sent)
        return PartEffect::none;

    if (part.bytes.empty())
    {
        applyRefusal (transfer, part, sender, heldRevision, now);
        return PartEffect::none;
    }

    if (part.revision <= heldRevision || transfer.received || part.size > maxHandedSize)
        return PartEffect::none;

    if (! isOfPartial (transfer, part))
    {
        if (part.revision < transfer.partial.revision)
            return PartEffect::none;

        // The sender holds a newer one, or the same compressed by another version of zlib.
        transfer.partial = { part.revision, {}, part.hash };
        transfer.size = part.size;
    }

    auto& bytes = transfer.partial.bytes;
    const auto isFromMiddle = bytes.empty() && part.offset != 0;

    if (isFromMiddle)
    {
        transfer.responseTime = Duration::zero();
        transfer.queryDue = now;
        transfer.source = sender;
        return PartEffect::progress;
    }

    if (part.offset != bytes.size() || bytes.size() + part.bytes.size() > transfer.size)
        return PartEffect::none;

    bytes += part.bytes;
    transfer.progressedAt = now;
    transfer.refusals = 0;
    transfer.lastResponseTime = now - *sent;
    transfer.responseTime = Duration::zero();
    transfer.queryDue = now;
    transfer.source = sender;

    if (bytes.size() < transfer.size)
        return PartEffect::progress;

    const auto isWhole = hashBytes (bytes) == transfer.partial.hash;

    if (isWhole)
        transfer.received = { std::move (transfer.partial), std::move (part.node), sender };
    else
        forgetHolder (transfer, sender);

    transfer.source.reset();
    dropPartial (transfer);
    return isWhole ? PartEffect::complete : PartEffect::corrupt;
}

auto membersToTell (const std::vector<ConfigurationTransfer::Endpoint>& members,
                    const std::vector<ConfigurationTransfer::Endpoint>& readers,
                    const ConfigurationTransfer::Endpoint& own)
    -> std::vector<ConfigurationTransfer::Endpoint>
{
    const auto position = static_cast<std::size_t> (
        std::ranges::count_if (readers, [&own] (const auto& reader) { return reader < own; }));
    std::vector<ConfigurationTransfer::Endpoint> told;
    std::size_t index = 0;

    for (const auto& member : members)
        if (std::ranges::find (readers, member) == readers.end() &&
            index++ % (readers.size() + 1) == position)
            told.push_back (member);

    return told;
}

} // namespace snowrudder
