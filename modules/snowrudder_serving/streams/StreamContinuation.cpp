#include "StreamContinuation.h"

#include "../members/StoreUpdates.h"
#include "StreamHolders.h"

#include <algorithm>

namespace snowrudder
{

auto isConclusive (const StreamInquiry& inquiry) -> bool
{
    const auto known = std::ranges::count_if (inquiry.responses, &StreamResponse::has_value);
    return inquiry.responses.size() >= inquiry.asked ||
           static_cast<std::size_t> (known) >= std::min (streamHolders, inquiry.asked);
}

auto isInStep (const StreamInquiry& inquiry) -> bool
{
    const auto known = combine (inquiry);
    return (inquiry.asked == 0 || ! inquiry.responses.empty()) && ! (known && known->isConflicting);
}

auto combine (const StreamInquiry& inquiry) -> StreamResponse
{
    StreamResponse combined;

    for (const auto& response : inquiry.responses)
    {
        if (! response)
            continue;

        if (! combined)
            combined = response;

        combined->isConflicting =
            combined->isConflicting || response->isConflicting || response->origin != combined->origin;
    }

    return combined;
}

auto toString (OriginSource source) -> std::string_view
{
    switch (source)
    {
        case OriginSource::ownRecord:
            return "own_record";
        case OriginSource::otherNode:
            return "other_node";
        case OriginSource::onlyVersion:
            return "only_version";
        case OriginSource::none:
            break;
    }

    return "none";
}

auto toString (ContinuationOutcome outcome) -> std::string_view
{
    switch (outcome)
    {
        case ContinuationOutcome::goesOn:
            return "goes_on";
        case ContinuationOutcome::ambiguous:
            return "ambiguous";
        case ContinuationOutcome::versionGone:
            return "version_gone";
        case ContinuationOutcome::listTooOld:
            return "list_too_old";
        case ContinuationOutcome::unknown:
            break;
    }

    return "unknown";
}

auto toString (VersionProof proof) -> std::string_view
{
    switch (proof)
    {
        case VersionProof::changed:
            return "changed";
        case VersionProof::beginUnproven:
            return "begin_unproven";
        case VersionProof::targetUnproven:
            return "target_unproven";
        case VersionProof::listTooOld:
            return "list_too_old";
        case VersionProof::known:
            break;
    }

    return "known";
}

auto proveVersions (const VersionProofInput& input, const VersionHistory& history, TimePoint now)
    -> VersionProof
{
    const auto hasFirstChanged = input.firstReplica && history.hasChangedVersion (*input.firstReplica, now);

    if (hasFirstChanged || ! history.wasLastListedWith (input.replica, input.version))
        return VersionProof::changed;

    const auto wasListTooOld = input.endedAt - input.provenAtEnd > continuationListAge &&
                               input.provenAtEnd < input.boundAt + maxRegistrationTime;

    if (wasListTooOld && ! input.isTakenUp)
        return VersionProof::listTooOld;

    if (input.provenAt < input.boundAt)
        return VersionProof::beginUnproven;

    return input.provenAt < input.connectedAt ? VersionProof::targetUnproven : VersionProof::known;
}

auto proofWait (const VersionProofInput& input, VersionProof proof) -> Duration
{
    const auto isProofPossible =
        proof == VersionProof::beginUnproven || proof == VersionProof::targetUnproven;

    if (! isProofPossible)
        return Duration::zero();

    if (input.isStoreReached)
        return versionProofWait;

    return std::clamp (input.provenAt + storeUpdateAgeLimit - input.waitingSince, Duration::zero(),
                       versionProofWait);
}

auto maySendOn (const VersionProofInput& input, VersionProof proof, TimePoint now) -> bool
{
    switch (proof)
    {
        case VersionProof::known:
            return true;
        case VersionProof::beginUnproven:
        case VersionProof::targetUnproven:
            return ! input.isOnlyVersion && now - input.provenAt <= continuationListAge;
        case VersionProof::changed:
        case VersionProof::listTooOld:
            break;
    }

    return false;
}

auto knownStream (const StreamOriginTable& streams,
                  const VersionHistory& history,
                  StreamKey key,
                  TimePoint now) -> StreamResponse
{
    auto stream = streams.find (key, now);

    if (stream && history.hasChangedVersion (stream->origin.replica, now))
        stream->isConflicting = true;

    return stream;
}

auto decideContinuation (const ContinuationInput& input,
                         const VersionHistory& history,
                         const VersionRegistry& registry,
                         TimePoint now) -> Continuation
{
    Continuation continuation;
    continuation.source = input.source;

    if (now - input.provenAt > continuationListAge)
    {
        continuation.outcome = ContinuationOutcome::listTooOld;
        return continuation;
    }

    if (input.stream)
    {
        if (input.stream->isConflicting || history.hasChangedVersion (input.stream->origin.replica, now))
        {
            continuation.outcome = ContinuationOutcome::ambiguous;
            return continuation;
        }

        const auto found = history.find (input.stream->origin.version, input.services);

        if (! found)
        {
            continuation.outcome = ContinuationOutcome::versionGone;
            return continuation;
        }

        continuation.at = *found;
    }
    else
    {
        // With several services it isn't known which of them began the stream.
        const auto isSingle = input.services.size() == 1 && input.isWithinMemory;
        const auto only = isSingle
                              ? history.onlyVersion (input.services.front(), registry, input.provenAt, now)
                              : std::nullopt;

        if (! only)
            return continuation;

        continuation.at = { input.services.front(), *only };
        continuation.source = OriginSource::onlyVersion;
    }

    continuation.outcome = history.replicaCount (continuation.at) > 0 ? ContinuationOutcome::goesOn
                                                                      : ContinuationOutcome::versionGone;
    return continuation;
}

} // namespace snowrudder
