#pragma once

#include "ConfigurationState.h"

#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** Sent to a node to get a part of a configuration. */
struct ConfigurationQuery
{
    std::string node;
    /** Identifies the query; the response repeats it. */
    std::uint64_t number = 0;
    /** The configuration that the sender receives, or the oldest one that it needs. */
    std::uint64_t revision = 0;
    /** Bytes of it that the sender has. */
    std::uint64_t offset = 0;
};

/** A part of a HandedConfiguration. Without bytes it only says which configuration its sender holds: in an announcement, or
    in response to a query if the sender holds no such configuration or has no time to send it.
*/
struct ConfigurationPart
{
    std::string node;
    /** Number of the query; 0 in an announcement. */
    std::uint64_t number = 0;
    /** 0 if the sender holds none. */
    std::uint64_t revision = 0;
    /** Size and hash of the whole HandedConfiguration::bytes. */
    std::uint64_t size = 0;
    std::uint64_t hash = 0;
    /** Where `bytes` begin. */
    std::uint64_t offset = 0;
    std::string bytes;
    /** If the sender has no time: other nodes that hold a configuration of this revision. */
    std::vector<boost::asio::ip::udp::endpoint> holders;
};

/** A configuration that was received from other nodes. */
struct ReceivedConfiguration
{
    HandedConfiguration handed;
    /** The node that sent the last part. */
    std::string from;
    boost::asio::ip::udp::endpoint sender;
};

/** A node's record of the configuration that it receives from other nodes. */
struct ConfigurationTransfer
{
    using Endpoint = boost::asio::ip::udp::endpoint;

    struct SentQuery
    {
        std::uint64_t number = 0;
        TimePoint sent {};
    };

    /** A node that said which configuration it holds. */
    struct Holder
    {
        Endpoint node;
        std::uint64_t revision = 0;
    };

    /** The latest last. */
    std::deque<Holder> holders;
    /** The configuration that is being received: what there is of it, and the size that it will have; 0 if there is
        none.
    */
    HandedConfiguration partial;
    std::uint64_t size = 0;
    /** The node that is asked for the next part. */
    std::optional<Endpoint> source;
    /** The latest queries. */
    std::deque<SentQuery> sent;
    /** When the next query is due if no part arrives before, and how long the one before was given. */
    TimePoint queryDue = longAgo;
    Duration responseTime {};
    /** How long the latest response took. */
    Duration lastResponseTime {};
    /** Starts at random, so that a part sent to a process that ran before on this VM matches no query of this one. */
    std::uint64_t lastNumber = randomNumber() >> 32U;
    /** Round-robin position among the readers, for when no holder is known. It starts at random, so that not all nodes ask
        the same one first.
    */
    std::size_t nextReader = randomNumber() >> 32U;
    /** Responses in a row without a part. */
    std::size_t refusals = 0;
    /** Since when this node needs a newer configuration than it holds, and the revision that it holds. */
    std::optional<TimePoint> neededSince;
    std::uint64_t heldRevision = 0;
    /** When this node last received a part of one. */
    TimePoint progressedAt = longAgo;
    /** When this node, which isn't a reader, is to read it at the store, and how often it has. */
    TimePoint storeReadDue = longAgo;
    std::size_t storeReads = 0;
    /** Whether this node's latest call to the store about the configuration failed. */
    bool isStoreFailing = false;
    /** A whole one that isn't in force yet. */
    std::optional<ReceivedConfiguration> received;
};

/** What a node records about the parts that it sends to others. */
struct ConfigurationSending
{
    /** Bytes that may be sent now, and the time at which that was so. */
    double budget = 0.0;
    TimePoint budgetAt = longAgo;
    /** Nodes to which a whole configuration was sent, the latest last. */
    std::deque<ConfigurationTransfer::Holder> served;
    std::size_t nextServed = 0;
};

/** What decides whether and where a node gets a configuration. */
struct ConfigurationNeed
{
    /** The revision that this node holds; 0 if it holds none. */
    std::uint64_t heldRevision = 0;
    /** The newest revision that any node announced, if this node lacks it; 0 if it needs any. */
    std::uint64_t revision = 0;
    /** Whether this node reads the store for others, or as it starts alone: it asks other nodes only if that fails. */
    bool readsStore = false;
    /** Whether the store is only a last resort, since the failure domain is large. */
    bool reliesOnReaders = false;
};

/** The size of a part. It leaves room in a datagram of 8 KB for the rest of the message. */
inline constexpr auto configurationPartSize = std::size_t { 6 * 1024 };

/** How long a node that isn't a reader waits for a part from other nodes before it reads the store itself. */
inline constexpr auto handOnTimeout = Duration (400ms);

/** In a large failure domain, the time over which nodes spread such reads. It doubles with each read, up to the longest:
    the responses to a thousand nodes at once would fill the store's link for a second.
*/
inline constexpr auto firstStoreReadSpread = Duration (4s);
inline constexpr auto longestStoreReadSpread = Duration (8s);

/** How long a reader waits for the store, which it asks at once, before it asks other nodes as well. If all readers asked
    the first that has a configuration, its link would be busy for most of a second.
*/
inline constexpr auto storeHeadStart = Duration (250ms);

/** How many bytes of configurations a node sends in a second, and at once: little more than half of a link of 20 Mbit/s.
    Others that ask it are sent on to nodes that it has served, so that the number of nodes that hold a configuration
    multiplies from round to round, however few read it at the store.
*/
inline constexpr auto sendingRate = 1.5e6;
inline constexpr auto sendingBurst = 96.0 * 1024.0;

/** The part of `sendingBurst` that is kept for nodes that have received some parts. */
inline constexpr auto keptForBegun = 0.5;

/** Records that this node needs a configuration, or that it doesn't.

    @param random  from 0 to 1
*/
auto recordNeed (ConfigurationTransfer& transfer,
                 const std::optional<ConfigurationNeed>& need,
                 double random,
                 TimePoint now) -> void;

/** Records that the store was read for a configuration that this node needs. */
auto recordStoreRead (ConfigurationTransfer& transfer,
                      const ConfigurationNeed& need,
                      double random,
                      TimePoint now) -> void;

/** @returns whether a node that isn't a reader must read the configuration that it needs at the store. */
auto isStoreReadDue (const ConfigurationTransfer& transfer, TimePoint now) -> bool;

/** Records which configuration a node said that it holds. */
auto recordHolder (ConfigurationTransfer& transfer,
                   const ConfigurationTransfer::Endpoint& node,
                   std::uint64_t revision,
                   TimePoint now) -> void;

/** A query, and the node to send it to. */
struct AddressedConfigurationQuery
{
    ConfigurationTransfer::Endpoint target;
    ConfigurationQuery query;
};

/** @returns the next query for a part, if one is due; it is recorded as sent now.

    @param readers  the readers of the own failure domain, then those of the others
*/
auto nextConfigurationQuery (ConfigurationTransfer& transfer,
                             const std::optional<ConfigurationNeed>& need,
                             const std::vector<ConfigurationTransfer::Endpoint>& readers,
                             const std::string& node,
                             TimePoint now) -> std::optional<AddressedConfigurationQuery>;

/** @returns when nextConfigurationQuery() is to be called next if nothing arrives before. */
auto nextQueryTime (const ConfigurationTransfer& transfer,
                    const std::optional<ConfigurationNeed>& need,
                    TimePoint now) -> TimePoint;

/** @returns the part that a node queried for, or a newer configuration's first part; without bytes if this node holds
    neither or has sent much just now.

    @param asker  the node that sent the query
    @param node   this node
*/
auto answerConfigurationQuery (ConfigurationSending& sending,
                               const ConfigurationState& configuration,
                               const ConfigurationQuery& query,
                               const ConfigurationTransfer::Endpoint& asker,
                               std::string node,
                               TimePoint now) -> ConfigurationPart;

/** @returns what a node tells others about the configuration that it holds. */
auto announceHeldConfiguration (const ConfigurationState& configuration, std::string node)
    -> ConfigurationPart;

/** What a part changed. */
enum class PartEffect
{
    none,
    /** The next part is to be queried at once. */
    progress,
    /** A whole configuration was received. */
    complete,
    /** The whole doesn't have the hash that its sender stated, and was dropped. */
    corrupt
};

/** Applies a part that another node sent. Parts that were sent twice, or that don't continue what there is, change
    nothing.
*/
auto applyConfigurationPart (ConfigurationTransfer& transfer,
                             ConfigurationPart part,
                             const ConfigurationTransfer::Endpoint& sender,
                             std::uint64_t heldRevision,
                             TimePoint now) -> PartEffect;

/** @returns those of `members` that the reader `own` tells of a new configuration. Each member is told by one reader, if
    all readers have the same list.

    @param members  the nodes of the failure domain; readers among them are left out
    @param readers  the other readers of the failure domain
*/
auto membersToTell (const std::vector<ConfigurationTransfer::Endpoint>& members,
                    const std::vector<ConfigurationTransfer::Endpoint>& readers,
                    const ConfigurationTransfer::Endpoint& own)
    -> std::vector<ConfigurationTransfer::Endpoint>;

} // namespace snowrudder
