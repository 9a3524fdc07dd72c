#pragma once

#include "../configuration/RoutingConfiguration.h"
#include "../node/NodeStop.h"
#include "../streams/StreamOriginTable.h"

#include "snowrudder_net/snowrudder_net.h"
#include "snowrudder_requests/crashes/CrashSubjects.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** One part of a prompt. Prompts with a common beginning share their first parts. */
struct PromptPart
{
    /** Hash of the prompt up to the end of this part. */
    std::uint64_t prefixHash = 0;
    /** Number of tokens up to the end of this part. */
    double prefixTokens = 0.0;
    /** Hash of the model and of this part by itself: the same wherever it stands in a prompt. */
    std::uint64_t contentHash = 0;
};

/** A caller's request as decoded by a face, before admission. */
struct CallerRequest
{
    /** The identifier that the caller gave to this attempt of its request. */
    std::string id;
    std::string host;
    /** Path without the query. */
    std::string path;
    /** The caller's key, by which its client account is found. */
    std::string key;
    /** How long the caller waits for the answer; empty if it did not set a limit. */
    std::optional<Duration> timeLimit;
    double promptTokens = 0.0;
    /** Maximum number of tokens of the answer. */
    double answerTokens = 0.0;
    /** Whether the caller stated the token counts. */
    bool hasTokenCounts = false;
    std::vector<PromptPart> parts;
    /** The attempt that began the stream that the caller takes up; empty if it names none. */
    std::string resumedRequest;
    /** Whether the caller takes up a stream, wherever it names that. */
    bool resumesStream = false;
    /** What of the name can't be used; empty if there is nothing. */
    std::string invalidResumption;
    /** The message to send to a replica, without the fields that this node sets for each attempt. */
    HttpRequest message;
};

/** An admitted request. It keeps the configuration under which it was admitted. */
struct RoutedRequest
{
    CallerRequest caller;
    std::shared_ptr<const RoutingConfiguration> configuration;
    const Route* route = nullptr;
    std::string service;
    /** Null on public routes. */
    std::shared_ptr<const RoutedAccount> account;
    CrashSubjects subjects {};
    /** Key of the stream that the caller takes up and its origin, where a node knew it. */
    std::optional<KnownStream> resumedStream {};
    /** The only version whose replicas may run the request. */
    std::optional<std::string> requiredVersion {};
    /** When the request arrived. */
    TimePoint accepted {};
    /** When the answer must be complete at the caller. */
    TimePoint deadline {};
    /** Age of the proof of the configuration when the request was admitted, for logs; -1 if there was none. */
    double proofMilliseconds = -1.0;

    [[nodiscard]] auto accountName() const -> std::string { return account ? account->name : std::string(); }
};

/** @returns the content by which repeats of a request are recognised. It holds references to both arguments. */
inline auto contentOf (const CallerRequest& caller, std::string_view account) -> RequestContent
{
    return { account, toView (caller.message.method_string()), caller.host, toView (caller.message.target()),
             caller.message.body() };
}

/** @returns what decides about an unsent request at a node that shuts down. */
inline auto atStop (const RoutedRequest& request) -> StoppedRequest
{
    // A request that usually ends soon is worth an attempt whatever its route's target.
    constexpr auto mostExpectedTime = Duration (1s);
    return { request.route->isRepeatable(), request.deadline,
             std::min (request.route->latencyTarget, mostExpectedTime) };
}

/** Most parts of one prompt for which crash evidence is kept, from its beginning: a prompt with more of them can't fill
    the evidence of its account.
*/
inline constexpr auto maxPartsWatched = std::size_t { 64 };

/** @returns the fingerprints of the first `maxPartsWatched` parts of a prompt, without its last part, which belongs to a
    single session.

    @param service  the service that runs the request: its replicas crash independently of those of other services
*/
auto sharedParts (const CallerRequest& caller, std::string_view service) -> std::vector<RequestFingerprint>;

/** @returns the scheduling urgency of a request at a replica, from 0 (most urgent) to 9. The account's priority takes
    precedence over the route's.
*/
inline auto urgencyOf (const RoutedRequest& request) -> std::uint32_t
{
    constexpr auto routeLevels = 3U;
    constexpr auto least = 9U;
    const auto ofAccount = request.account ? request.account->priority : 0U;
    return std::min (least, ofAccount * routeLevels + std::min (request.route->priority, routeLevels - 1));
}

} // namespace snowrudder
