#pragma once

#include "CrashEvidence.h"

#include <optional>
#include <span>
#include <vector>

namespace snowrudder
{

/** A part of prompts that no replica has answered yet, as far as is known, is stopped when a sound part would be cut as
    often, as early in its answers and without a success in between, with a probability of 10 to the power of minus this.
*/
inline constexpr auto decadesToStopNew = 8.0;

/** The same for a part that replicas have answered before. */
inline constexpr auto decadesToStopProven = 14.0;

/** From this share of the decades that stop a part, requests with it run one at a time and apart from others. */
inline constexpr auto suspectedShare = 1.0 / 3;

/** Requests under which replicas must have crashed for a part to be stopped: one or two may be fatal by themselves. */
inline constexpr auto minFatalRequests = std::size_t { 3 };

/** Time for which the other crashes of a service are counted, up to the part's latest crash, to estimate how often its
    replicas crash for other reasons.
*/
inline constexpr auto crashRateWindow = Duration (5s);

/** The share of a service's replicas that are assumed to run: those that crashed are down for seconds. */
inline constexpr auto runningShare = 0.5;

/** Time by which an answer's end may be seen late, on a node with a fraction of a core. Shorter runs count as this long.
*/
inline constexpr auto runTimeResolution = Duration (100ms);

/** The weight of the evidence against a part. */
struct PartScore
{
    /** Improbability of the evidence if the part is sound, as a negative power of ten. */
    double decades = 0.0;
    bool isSuspect = false;
    /** Time of the crash by which the part was found to be fatal; nothing if it was not. */
    std::optional<TimePoint> decidedAt;
    /** Of the parts that were in all the same requests, so that any of them may be the fatal one: the first, and their
        number. Requests that have only some of them still run.
    */
    RequestFingerprint group;
    std::size_t groupSize = 0;
};

/** A part with its evidence, and when it was found to be fatal before. */
struct KnownPart
{
    const CrashEvidence* evidence = nullptr;
    std::optional<TimePoint> decidedAt;
};

/** Separates the parts that crash replicas from those that were only in the prompts of requests that ran there.

    A sound part is in some of the requests that a crash ends, at any moment of their answers, and other requests with it
    succeed. A fatal one ends each replica soon after the answer has begun, and has no success. Parts are found one after
    the other, the one with the most evidence first, since each explains its crashes to the rest. One that was found before
    stays so until a success refutes its crashes: otherwise what others learn of it could bring it back.

    @param parts  all parts
    @returns      the score of each part, in the same order
*/
auto scoreParts (std::span<const KnownPart> parts) -> std::vector<PartScore>;

} // namespace snowrudder
