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

/** How often a request of a route may run. */
enum class RouteKind
{
    /** Any number of times. */
    repeatable,
    /** Once at most. */
    once,
    /** A stream of events; once at most, unless the route lets streams go on at another replica. */
    stream
};

/** One of the services among which a route's requests are split. */
struct WeightedService
{
    std::string name;
    double weight = 1.0;
};

/** Where requests of a host and path go, and what holds for them. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with '/'. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::once;
    std::vector<WeightedService> services;
    /** From the request's arrival to its final answer. */
    Duration timeout = 30s;
    /** An answer (a stream: its first event) within this time is worth the most. */
    Duration latencyTarget = 1s;
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Replicas that one request may run on. */
    std::uint32_t mostAttempts = 1;
    /** Whether no key is needed. */
    bool isPublic = false;
    /** Whether a broken stream may go on at another replica. */
    bool canResume = false;

    [[nodiscard]] auto isRepeatable() const -> bool
    {
        return kind == RouteKind::repeatable || (kind == RouteKind::stream && canResume);
    }
};

/** Bounds and prices of ordering replicas of a service, for each failure domain by itself. */
struct ScalingBounds
{
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    /** From the order until a replica serves. */
    Duration bootTime = 0s;
    /** Price of a reclaimable replica in parts of an on-demand one; 0 where there are none. */
    double reclaimablePrice = 0.0;
    /** Price of a replica's second, by failure domain. */
    std::map<std::string, double> domainPrices;
};

/** A service and its replicas' common traits. */
struct UpstreamService
{
    std::string name;
    /** Connections that a replica takes from all nodes together; it resets those beyond. 0 where that is not known. */
    std::uint32_t maxConnections = 0;
    /** Set where replicas of the service can be ordered. */
    std::optional<ScalingBounds> scaling;
};

/** A client account and its limit over all nodes. */
struct RoutedAccount
{
    std::string name;
    /** 0 is the most urgent; goes before a route's. */
    std::uint32_t priority = 0;
    /** Of prompt and answer together; 0 where there is no limit. */
    double tokensPerSecond = 0.0;
    double burstTokens = 0.0;
    /** What a request without a token count stands for. */
    double plainTokens = 0.0;
};

/** Bounds on what callers send. */
struct CallerBounds
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint32_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = 3s;
    Duration idleTimeout = 15s;
};

/** One version of what operators decide. It never changes: a new version is a new object. */
struct RoutingConfiguration
{
    /** The operators' own number; rises. */
    std::uint64_t version = 0;
    /** The store's revision of the item. */
    std::uint64_t revision = 0;
    /** By host, the longest path prefix first. */
    std::unordered_map<std::string, std::vector<Route>> routes;
    std::map<std::string, UpstreamService, std::less<>> services;
    std::vector<std::shared_ptr<const RoutedAccount>> accounts;
    std::unordered_map<std::string, std::shared_ptr<const RoutedAccount>> accountsByKey;
    CallerBounds bounds;
};

/** Adds a route in its place. */
auto addRoute (RoutingConfiguration& configuration, Route route) -> void;

/** @returns the route of a host whose prefix is the longest that begins the path, or nullptr.

    @param host  may carry a port, which is left out
    @param path  without its query
*/
auto findRoute (const RoutingConfiguration& configuration, std::string_view host, std::string_view path)
    -> const Route*;

/** @returns the account that holds a key, or nullptr. */
auto findAccount (const RoutingConfiguration& configuration, std::string_view key)
    -> std::shared_ptr<const RoutedAccount>;

/** @returns how many idle connections a node may keep to one replica, so that with all other nodes' they take half of what it
    takes at most. The other half is for requests under way: those that may run once each open a new connection, and one over
    the bound is reset after the request was sent, which then can't be told from one that ran. Four replicas of 100 connections
    reset 98 to 142 of 7 nodes' in 70 s with 64 idle ones kept by each, and each took a request with it.

    @param nodes  that send to the same replicas, this one included
*/
auto maxIdleConnections (const RoutingConfiguration& configuration, std::size_t nodes) -> std::size_t;

/** @returns the service for one request of a route.

    @param draw  from 0 to 1, evenly spread
*/
auto pickService (const Route& route, double draw) -> const std::string&;

} // namespace snowrudder
