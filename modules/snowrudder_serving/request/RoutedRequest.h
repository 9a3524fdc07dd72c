#pragma once

#include "../configuration/RoutingConfiguration.h"

#include "snowrudder_net/snowrudder_net.h"
#include "snowrudder_requests/crashes/RequestFingerprint.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** One part of a prompt. Requests whose prompts begin alike share their first parts. */
struct PromptPart
{
    /** Hash of this part and all before it. */
    std::uint64_t prefixHash = 0;
    /** Tokens up to this part's end. */
    double prefixTokens = 0.0;
};

/** What a face read from a caller's request: nothing is decided yet. */
struct CallerRequest
{
    /** The caller's name of this attempt of its own. */
    std::string id;
    std::string host;
    /** Without the query. */
    std::string path;
    std::string key;
    /** How long the caller waits; nothing where it did not say. */
    std::optional<Duration> timeLimit;
    double promptTokens = 0.0;
    /** Most tokens of the answer. */
    double answerTokens = 0.0;
    bool hasTokenCounts = false;
    std::vector<PromptPart> parts;
    /** As it goes to a replica, less what the node itself sets. */
    HttpRequest message;
};

/** A request that was admitted. It keeps the configuration that it began with. */
struct RoutedRequest
{
    CallerRequest caller;
    std::shared_ptr<const RoutingConfiguration> configuration;
    const Route* route = nullptr;
    std::string service;
    /** Null on public routes. */
    std::shared_ptr<const RoutedAccount> account;
    RequestFingerprint fingerprint;
    TimePoint accepted {};
    /** When the caller must have its final answer. */
    TimePoint deadline {};

    [[nodiscard]] auto accountName() const -> std::string { return account ? account->name : std::string(); }
};

/** @returns what makes a request the same as another; refers to both arguments. */
inline auto contentOf (const CallerRequest& caller, std::string_view account) -> RequestContent
{
    return { account, toView (caller.message.method_string()), caller.host, toView (caller.message.target()),
             caller.message.body() };
}

/** @returns how urgent a request is to a replica, from 0 to 9 with 0 first: its account's priority goes before its route's. */
inline auto urgencyOf (const RoutedRequest& request) -> std::uint32_t
{
    constexpr auto routeLevels = 3U;
    constexpr auto least = 9U;
    const auto ofAccount = request.account ? request.account->priority : 0U;
    return std::min (least, ofAccount * routeLevels + std::min (request.route->priority, routeLevels - 1));
}

} // namespace snowrudder
