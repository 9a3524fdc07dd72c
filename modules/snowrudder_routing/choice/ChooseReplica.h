#pragma once

#include "../replicas/ReplicaState.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** Weights of the cost function that replicas are compared by. Costs are in tokens. */
struct ChoiceWeights
{
    /** Cost of one prompt token that has to be computed because it is not cached. */
    double recompute = 1.0;
    /** Cost of one prompt token that is queued on the replica before this request. */
    double queue = 1.0;
    /** Cost of one request beyond the replica's slots; occupied slots below that count with a fraction of it. */
    double busySlot = 60.0;
    /** Cost of waiting that is nearly ignored, because the latency target allows for it; in tokens. */
    double freeWait = 8000.0;
    /** Fraction of a prompt's shared tokens assumed to be cached on the replica that ranks first, where nothing better
        is known.
    */
    double assumedCached = 0.6;
    /** Length of the prompt prefix that the ranking is computed from, in bytes. */
    std::size_t anchorBytes = 4096;
    /** Requests per slot above which a replica counts as full for requests of an account over its share. It is above 1
        because the requests of other accounts go first on the replica anyway, and because a flood that is spread over
        all replicas slows down all of them (docs/design/overload.md).
    */
    double fullOccupancy = 1.5;
    /** Prompts with more unshared tokens than this go to replicas that are reserved for them: an engine computes a long
        prompt in chunks between the decoding steps of the requests that run beside it, and so delays each of their
        events. 0 reserves none.
    */
    double longPromptThreshold = 0.0;
    /** Fraction of the replicas that is reserved for long prompts. */
    double longPromptShare = 0.2;
    /** Cost of a long prompt for each request that already runs on the replica, in tokens: their events pause while the
        prompt is computed.
    */
    double longPromptInterference = 0.0;
    /** Replicas are only reserved for long prompts where at least this many are usable. */
    std::size_t minReplicasToSplit = 6;
    /** With more than `maxCountedRouters` routers, each request considers a random sample of about this many replicas,
        plus those that hold parts of its prompt and the one that ranks first. All routers receive the same load
        reports, some tenths of a second old; without sampling, all of them would choose the replica that had the lowest
        load then.
    */
    double sampledReplicas = 2.0;
    /** Sample size for a call without a prompt. Such a call has ended before it shows in any load report. */
    double sampledReplicasForCalls = 1.0;
    /** How long a new replica gets less work than the others. */
    Duration slowStart = 10s;
};

/** The properties of a request that the choice depends on. */
struct ChoiceInput
{
    std::span<const std::uint64_t> blocks;
    /** Prompt tokens up to the end of each block, where callers state them; empty where all blocks have the same size.
    */
    std::span<const double> blockTokens;
    /** Index of the block whose hash replicas are ranked by. Where it is not set, `anchorBytes` determines the block.
    */
    std::optional<std::size_t> anchorBlock;
    double promptTokens = 0.0;
    /** Of `promptTokens`, those at the end that the prompt shares with no other request. */
    double ownTokens = 0.0;
    /** Replicas that this request has already been tried on; they are not chosen again. */
    std::span<const ReplicaNumber> tried;
    std::span<const PrefixMatch> matches;
    /** Whether the account uses more than its share. Its requests then avoid full replicas while others are not full.
    */
    bool isOverShare = false;
    /** Number of routers that send to the same replicas, this one included. */
    std::size_t routers = 1;
    /** Anchors of the requests that this one must not share replicas with; may hold its own. Empty: no restriction. */
    std::span<const std::uint64_t> separatedFrom;
    /** Restricts the choice to replicas of one version, or to those of any other version. Not set: no restriction; an
        empty name means the replicas that don't state a version.
    */
    std::optional<std::string_view> onlyVersion;
    std::optional<std::string_view> exceptVersion;
    /** Versions that are not chosen. */
    std::span<const std::string> heldBackVersions;
    /** A random number that seeds the sample of replicas where there are many routers. */
    std::uint64_t draw = 0;
};

/** A replica considered for a request. */
struct Candidate
{
    std::size_t index = 0;
    /** Expected cost in tokens; the lowest is chosen. */
    double score = 0.0;
    double uncachedTokens = 0.0;
    /** Whether it accepts requests of an account over its share. */
    bool hasCapacity = true;
    /** A random number from 0 to 1, specific to the request; the replica is in the sample when it is below the sampled
        fraction. Only set where replicas are sampled.
    */
    double samplePosition = 0.0;
};

/** The chosen replica, the runners-up, and the reason. */
struct Choice
{
    /** In ascending order of score, so that the first one is chosen; at most `keptCandidates`. */
    std::vector<Candidate> candidates;
    /** For the log: "cached" (holds part of the prompt), "ranked" (ranks first for it), "spilled" (neither), or "only"
        (the only usable replica).
    */
    std::string_view reason;
    std::size_t usable = 0;
    /** Estimated number of requests of all routers on the chosen replica. */
    double requestEstimate = 0.0;
    /** Estimated number of prompt tokens queued there, including those that other routers announced. */
    double pendingTokens = 0.0;
    /** Age of the chosen replica's last load report; nothing while there is none. */
    std::optional<Duration> loadAge;
};

/** @returns the usable replicas with the least expected cost, or nothing when none is usable.

    All routers rank the replicas for a prompt the same way without communication (rendezvous hashing), so that a prefix
    that is new to this router goes to the replica that other routers send it to. Prefixes that this router sent earlier
    take precedence over the ranking.
*/
auto chooseReplica (std::span<const ReplicaState> replicas,
                    const ChoiceInput& input,
                    const ChoiceWeights& weights,
                    TimePoint now) -> std::optional<Choice>;

/** Number of candidates kept for the log line. */
inline constexpr auto keptCandidates = std::size_t { 4 };

/** @returns a replica's rendezvous hash for a prompt. The replica with the highest value ranks first. */
auto rendezvousValue (std::uint64_t anchor, std::string_view replicaName) -> std::uint64_t;

} // namespace snowrudder
