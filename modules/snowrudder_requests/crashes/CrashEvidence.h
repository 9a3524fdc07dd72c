#pragma once

#include "RequestFingerprint.h"

#include "snowrudder_core/snowrudder_core.h"

#include <optional>
#include <vector>

namespace snowrudder
{

/** A replica that ended while it ran a request. */
struct ReplicaCrash
{
    /** Hash of the replica, and of its start where the replica tells that. */
    std::uint64_t replica = 0;
    /** When its connection ended. */
    TimePoint at {};
    /** Whether the hash names one start of the replica, which ends once: a connection that its address cut later is the same end. */
    bool identifiesIncarnation = false;
};

/** What is known of one request under which replicas ended. Nodes tell it each other; it may arrive late, twice and in any
    order.
*/
struct CrashEvidence
{
    RequestFingerprint request;
    /** Hash of its client account's name. */
    std::uint32_t account = 0;
    /** The latest `maxCrashesKept`, in the order of their times. */
    std::vector<ReplicaCrash> crashes;
    /** Ends of connections under it of which it is not known yet whether the replica has crashed; the latest `maxUnconfirmedCrashes`. */
    std::vector<ReplicaCrash> unconfirmedCrashes;
    /** When a replica last answered it whole and with success. */
    std::optional<TimePoint> lastSuccess;
    /** When a replica last ended under it, or a repeat of it was last stopped. */
    TimePoint lastSeen {};
};

/** Crashes kept of one request, the latest: those after another request was stopped tell most. */
inline constexpr auto maxCrashesKept = std::size_t { 16 };

/** Open ends kept of one request. */
inline constexpr auto maxUnconfirmedCrashes = std::size_t { 4 };

/** An end of a connection is proved to be a crash within this time, or taken for none: its replica has answered since, or its entry has
    stayed.
*/
inline constexpr auto confirmationTimeout = Duration (2s);

/** Crashes closer to each other than this count once: what takes several replicas at the same moment is not a request. */
inline constexpr auto minCrashSpacing = Duration (50ms);

/** A success speaks for the request also in crashes up to this much later: a request that runs well elsewhere at the time did
    not end its replica.
*/
inline constexpr auto successValidity = Duration (5s);

/** Before a request is stopped, evidence of other nodes is waited for since its last deciding crash: it may show that another
    request ended the same replicas and more.
*/
inline constexpr auto evidenceWaitTime = Duration (700ms);

/** As long is waited since a node last learned something of the request, unless every proof must be in. */
inline constexpr auto settlingTime = Duration (500ms);

/** A replica that starts again under its name has not crashed a second time within less. */
inline constexpr auto minRestartInterval = Duration (1s);

/** Notes an end of a connection of which no crash is proved yet.

    @returns whether it was not known
*/
auto recordUnconfirmedCrash (CrashEvidence& evidence, const ReplicaCrash& end) -> bool;

/** @returns the open ends that may still prove to be crashes. */
auto pendingUnconfirmedCrashes (const CrashEvidence& evidence, TimePoint now) -> std::vector<ReplicaCrash>;

/** @returns whether two nodes told of the same end of a replica. */
auto isSameCrash (const ReplicaCrash& first, const ReplicaCrash& second) -> bool;

/** Takes over what another node knows of the same request.

    @returns whether there was anything new in it
*/
auto mergeEvidence (CrashEvidence& known, const CrashEvidence& received) -> bool;

/** @returns the crashes that no success speaks against. */
auto unrefutedCrashes (const CrashEvidence& evidence) -> std::vector<ReplicaCrash>;

/** @returns of the standing crashes those that count against a request: one for each moment. */
auto countedCrashes (const CrashEvidence& evidence) -> std::vector<ReplicaCrash>;

} // namespace snowrudder
