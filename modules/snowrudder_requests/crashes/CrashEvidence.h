#pragma once

#include "RequestFingerprint.h"

#include "snowrudder_core/snowrudder_core.h"

#include <optional>
#include <vector>

namespace snowrudder
{

/** What crash evidence is kept about. */
enum class CrashSubject
{
    /** A request with its repeats. */
    request,
    /** A part that the prompts of several requests have in common. */
    promptPart
};

/** A crash of a replica, or a possible one, while it ran a request. */
struct ReplicaCrash
{
    /** Hash of the replica's name, and of its incarnation where the replica publishes one. */
    std::uint64_t replica = 0;
    /** When the connection to it ended. */
    TimePoint at {};
    /** Whether the hash covers the incarnation. An incarnation crashes only once, so that a connection that ends later
        belongs to the same crash.
    */
    bool identifiesIncarnation = false;
    /** Hash of the request that ran, in evidence about a part of its prompt. */
    std::uint32_t request = 0;
    /** How long the replica had been answering that request, or working on it where no answer had begun. */
    Duration ranFor {};
};

/** What is known of one request, or of one part of prompts, during which replicas crashed. Nodes gossip it; it may
    arrive late, twice and in any order.
*/
struct CrashEvidence
{
    CrashSubject subject = CrashSubject::request;
    RequestFingerprint fingerprint;
    /** Hash of the client account's name. */
    std::uint32_t account = 0;
    /** Number of replicas that the service of a prompt's part had. */
    std::uint32_t replicas = 0;
    /** The latest `maxCrashesKept` crashes, in order of time. */
    std::vector<ReplicaCrash> crashes;
    /** Connections that ended while the request ran, where it is not known yet whether the replica crashed; the latest
        `maxUnconfirmedCrashes`, in order of time.
    */
    std::vector<ReplicaCrash> unconfirmedCrashes;
    /** When a replica last answered the request completely and successfully. For a part: when the latest answer began
        during which a replica did not crash.
    */
    std::optional<TimePoint> lastSuccess;
    /** When a replica last crashed during the request, or a repeat of it was last stopped. */
    TimePoint lastSeen {};
};

/** Most crashes kept for one request. The latest are kept: once another fatal request has been stopped, later crashes
    are not shared with it and are better evidence.
*/
inline constexpr auto maxCrashesKept = std::size_t { 16 };

/** Most unconfirmed crashes kept for one request. */
inline constexpr auto maxUnconfirmedCrashes = std::size_t { 4 };

/** A possible crash that is not confirmed within this time is not regarded as one: the replica has answered since, or
    its entry is still listed.
*/
inline constexpr auto confirmationTimeout = Duration (2s);

/** Crashes less than this apart count once: a request does not end several replicas at the same moment, so that they
    have another cause.
*/
inline constexpr auto minCrashSpacing = Duration (50ms);

/** A success also refutes crashes up to this much later: a request that succeeds elsewhere at about the same time did
    not cause them.
*/
inline constexpr auto successValidity = Duration (5s);

/** The same for a part of prompts: an answer that began this long before the crash, or later. Shorter than for a
    request, since a part that is used all the time may begin to crash replicas.
*/
inline constexpr auto partSuccessValidity = Duration (500ms);

/** How long an answer must have been arriving for its replica to count as not crashed by it: a part that crashes replicas
    does so as they begin to answer.
*/
inline constexpr auto provenRunTime = Duration (500ms);

/** Time between the crash that makes a request fatal and its being stopped. Evidence that arrives from other nodes
    meanwhile may show that another request ended the same replicas and more.
*/
inline constexpr auto evidenceWaitTime = Duration (700ms);

/** A request is also not stopped until its evidence has been unchanged on this node for this time, unless all proofs
    must have arrived by then.
*/
inline constexpr auto settlingTime = Duration (500ms);

/** Two crashes reported for the same replica name less than this apart are the same crash: a restart takes longer. */
inline constexpr auto minRestartInterval = Duration (1s);

/** Adds a possible crash that is not confirmed yet.

    @returns whether it was added; false if it is known already
*/
auto recordUnconfirmedCrash (CrashEvidence& evidence, const ReplicaCrash& end) -> bool;

/** @returns the unconfirmed crashes that may still be confirmed: not timed out and not refuted by a success. */
auto pendingUnconfirmedCrashes (const CrashEvidence& evidence, TimePoint now) -> std::vector<ReplicaCrash>;

/** @returns whether two reports describe the same crash of a replica. */
auto isSameCrash (const ReplicaCrash& first, const ReplicaCrash& second) -> bool;

/** Merges evidence received from another node into the evidence known here of the same request. Evidence that arrives
    out of order or twice changes nothing.

    @returns whether it contained anything new
*/
auto mergeEvidence (CrashEvidence& known, const CrashEvidence& received) -> bool;

/** @returns the crashes that no success refutes. */
auto unrefutedCrashes (const CrashEvidence& evidence) -> std::vector<ReplicaCrash>;

/** @returns the unrefuted crashes that count against a request: one of those less than `minCrashSpacing` apart. */
auto countedCrashes (const CrashEvidence& evidence) -> std::vector<ReplicaCrash>;

} // namespace snowrudder
