#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snowrudder
{

/** How often a request of a route may be executed. */
enum class RouteKind
{
    /** Any number of times. */
    repeatable,
    /** At most once. */
    once,
    /** A stream of events; at most once, unless the route allows streams to resume on another replica. */
    stream
};

/** A service that gets a fraction of a route's requests, in proportion to its weight. */
struct WeightedService
{
    std::string name;
    double weight = 1.0;
};

/** The services and settings for requests of a host and path prefix. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with '/'. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::once;
    std::vector<WeightedService> services;
    /** Maximum time from the arrival of a request to the end of its answer. */
    Duration timeout = 30s;
    /** Target for the time until the answer, or until the first event of a stream. Answers within it are worth the
        most.
    */
    Duration latencyTarget = 1s;
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Maximum number of replicas that one request may be executed on. */
    std::uint32_t mostAttempts = 1;
    /** Whether requests need no API key. */
    bool isPublic = false;
    /** Whether a broken stream may be resumed on another replica. */
    bool canResume = false;

    [[nodiscard]] auto isRepeatable() const -> bool
    {
        return kind == RouteKind::repeatable || (kind == RouteKind::stream && canResume);
    }
};

/** Limits and prices for ordering replicas of a service, which apply to each failure domain separately. */
struct ScalingBounds
{
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    /** Time from the order until the replica serves requests. */
    Duration bootTime = 0s;
    /** Price of a reclaimable replica as a fraction of the on-demand price; 0 where there are none. */
    double reclaimablePrice = 0.0;
    /** Price of a replica per second, by failure domain. */
    std::map<std::string, double> domainPrices;
};

/** A service and the properties that its replicas have in common. */
struct UpstreamService
{
    std::string name;
    /** Number of connections that a replica accepts from all nodes together; it resets further ones. 0 where it is
        unknown.
    */
    std::uint32_t maxConnections = 0;
    /** Set where replicas of the service can be ordered. */
    std::optional<ScalingBounds> scaling;
};

/** A client account and its limits, which apply to all nodes together. */
struct RoutedAccount
{
    std::string name;
    /** 0 is the most urgent; takes precedence over the priority of the route. */
    std::uint32_t priority = 0;
    /** Limit on the rate of prompt and answer tokens together; 0 for no limit. */
    double tokensPerSecond = 0.0;
    double burstTokens = 0.0;
    /** Tokens that a request without a token count is charged with. */
    double plainTokens = 0.0;
};

/** Limits on requests from callers. */
struct CallerBounds
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint32_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = 3s;
    Duration idleTimeout = 15s;
};

/** One version of the operators' configuration. It is immutable: each new version is a new object. */
struct RoutingConfiguration
{
    /** The operators' version number, which increases. */
    std::uint64_t version = 0;
    /** The store's revision of the configuration item. */
    std::uint64_t revision = 0;
    /** Hash of the stored text, by which logs tell two contents of one version apart. */
    std::uint64_t contentHash = 0;
    /** Routes by host, the longest path prefix first. */
    std::unordered_map<std::string, std::vector<Route>> routes;
    std::map<std::string, UpstreamService, std::less<>> services;
    std::vector<std::shared_ptr<const RoutedAccount>> accounts;
    std::unordered_map<std::string, std::shared_ptr<const RoutedAccount>> accountsByKey;
    CallerBounds bounds;
};

/** Adds a route to its host's, which stay ordered by the length of their path prefixes. */
auto addRoute (RoutingConfiguration& configuration, Route route) -> void;

/** @returns the route of a host with the longest prefix of a path, or nullptr.

    @param host  may include a port, which is ignored
    @param path  without the query
*/
auto findRoute (const RoutingConfiguration& configuration, std::string_view host, std::string_view path)
    -> const Route*;

/** @returns the account that holds a key, or nullptr. */
auto findAccount (const RoutingConfiguration& configuration, std::string_view key)
    -> std::shared_ptr<const RoutedAccount>;

/** @returns how many idle connections a node may keep to one replica, so that those of all nodes use up half of the
    replica's limit. The other half is for requests in flight: a request that may be executed only once opens a new
    connection, and a connection over the limit is reset after the request was sent, so that it is unknown whether the
    request was executed. With 7 nodes that kept 64 idle connections each, four replicas with a limit of 100 reset 98 to
    142 connections in 70 s, and each reset lost a request.

    @param nodes  number of nodes that send to the same replicas, this one included
*/
auto maxIdleConnections (const RoutingConfiguration& configuration, std::size_t nodes) -> std::size_t;

/** @returns a service of a route for one request, chosen at random by weight.

    @param draw  a uniformly distributed random number from 0 to 1
*/
auto pickService (const Route& route, double draw) -> const std::string&;

} // namespace snowrudder
