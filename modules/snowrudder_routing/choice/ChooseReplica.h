#pragma once

#include "../replicas/ReplicaState.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** Prices of what a choice costs, in tokens. */
struct ChoiceWeights
{
    /** Of one prompt token computed again. */
    double recompute = 1.0;
    /** Of one prompt token that waits before this request. */
    double queue = 1.0;
    /** Of one request in place of a free slot. */
    double busySlot = 60.0;
    /** Waiting that costs nothing, in the same tokens: the latency target leaves room for it. */
    double freeWait = 8000.0;
    /** Share of a prompt taken as cached where the hash ranking puts it, while nothing is known. */
    double assumedCached = 0.6;
    /** Bytes of prompt that the hash ranking looks at. */
    std::size_t anchorBytes = 4096;
    /** Requests for each of its slots from which on a replica is full for a request of an account over its share. More
        than one: the others' requests go before them there, and a flood that is spread over all replicas slows all of
        them (docs/design/overload.md).
    */
    double fullOccupancy = 1.5;
    /** Prompts with more tokens of their own go to a part of the replicas that takes no others: a long prompt is computed in
        pieces between the tokens of all that run beside it, and holds up each of their events. 0 keeps none apart.
    */
    double longPromptThreshold = 0.0;
    /** Part of the replicas that takes long prompts. */
    double longPromptShare = 0.2;
    /** Of each request that runs where a long prompt goes, in tokens: its events pause while the prompt is read. */
    double longPromptInterference = 0.0;
    /** Fewer usable replicas than this are not split. */
    std::size_t minReplicasToSplit = 6;
    /** Among more routers than can guess each other's sends, one weighs about this many replicas beside those that hold parts of
        its prompt and the one that ranks first. All hear the same loads, some tenths of a second old: each would send to the
        one that looked best then.
    */
    double sampledReplicas = 2.0;
    /** The same for a call without a prompt: it has ended before any news of it comes. */
    double sampledReplicasForCalls = 1.0;
    /** New replicas get work slowly for this long. */
    Duration slowStart = 10s;
};

/** What the choice needs to know of a request. */
struct ChoiceInput
{
    std::span<const std::uint64_t> blocks;
    /** Tokens up to each block's end, where callers state them; empty where blocks are of one size. */
    std::span<const double> blockTokens;
    /** The block whose hash the ranking is made for; without it, the one that `anchorBytes` names. */
    std::optional<std::size_t> anchorBlock;
    double promptTokens = 0.0;
    /** Of these, the last ones that no other request shares. */
    double ownTokens = 0.0;
    /** Replicas already tried by this request. */
    std::span<const ReplicaNumber> tried;
    std::span<const PrefixMatch> matches;
    /** Whether the account has more than its share: its requests stay off full replicas while others are not full. */
    bool isOverShare = false;
    /** Routers that send to the same replicas. */
    std::size_t routers = 1;
    /** Anchors of requests from which this one is to run apart, with an anchor of its own. Empty: it runs anywhere. */
    std::span<const std::uint64_t> separatedFrom;
    /** Only replicas of this version are weighed, or all but those. Empty: all are. */
    std::string_view onlyVersion;
    std::string_view exceptVersion;
    /** A random number, of which replicas to weigh are drawn where there are many routers. */
    std::uint64_t draw = 0;
};

/** One replica that was weighed. */
struct Candidate
{
    std::size_t index = 0;
    /** Expected cost in tokens; the least wins. */
    double score = 0.0;
    double uncachedTokens = 0.0;
    /** Whether it takes a request of an account over its share. */
    bool hasRoom = true;
    /** Where the request's draw puts it among all, from 0 to 1, where replicas are drawn. */
    double place = 0.0;
};

/** What was chosen and why. */
struct Choice
{
    /** The best first; at most `keptCandidates`. */
    std::vector<Candidate> candidates;
    /** One word for the log: cached, ranked, spilled, or only. */
    std::string_view reason;
    std::size_t usable = 0;
    /** Requests believed on the first candidate, everybody's together. */
    double requestEstimate = 0.0;
    /** Prompt tokens believed to wait there, as far as routers told. */
    double pendingTokens = 0.0;
    /** Age of the first candidate's own word of its load; nothing while it has not said any. */
    std::optional<Duration> loadAge;
};

/** @returns the usable replicas with the least expected cost, or nothing when none is usable.

    All routers rank replicas for a prompt the same way without talking (rendezvous hashing), so that a prefix new
    to this router goes where other routers send it. What this router sent earlier tells more and goes first.
*/
auto chooseReplica (std::span<const ReplicaState> replicas,
                    const ChoiceInput& input,
                    const ChoiceWeights& weights,
                    TimePoint now) -> std::optional<Choice>;

/** Candidates kept for the log line. */
inline constexpr auto keptCandidates = std::size_t { 4 };

/** @returns a replica's place value in the ranking for a prompt: the highest ranks first. */
auto rendezvousValue (std::uint64_t anchor, std::string_view replicaName) -> std::uint64_t;

} // namespace snowrudder
