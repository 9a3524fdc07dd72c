#include "ResumedStream.h"

namespace snowrudder
{

namespace
{

/** How long a request waits at a node that has just started, until that has read which versions served before. With the
    query of other nodes this stays below the 0.6 s within which a stream that can't go on has to be refused.
*/
constexpr auto registryWait = Duration (300ms);
constexpr auto registryPollInterval = 5ms;

auto keyOf (const ServingState& state, const RoutedRequest& request, std::string_view id) -> StreamKey
{
    const auto account = request.accountName();
    return streamKey (state.fleetSecret, { account, request.caller.host, request.caller.path, id });
}

auto decide (const ServingState& state,
             const RoutedRequest& request,
             const StreamResponse& stream,
             OriginSource source) -> Continuation
{
    ContinuationInput input;
    input.stream = stream;
    input.source = source;
    input.isWithinMemory = request.route->timeout <= streamMemory / 2;
    input.provenAt = directoryProvenAt (state.storeUpdates);

    for (const auto& service : request.route->services)
        input.services.push_back (service.name);

    return decideContinuation (input, state.versions, state.versionRegistry, BootClock::now());
}

auto log (const RoutedRequest& request, const Continuation& continuation, TimePoint began) -> void
{
    const auto now = BootClock::now();
    const auto& stream = request.resumedStream;
    LogLine ("stream_resumed")
        .with ("request", request.caller.id)
        .with ("resumes", request.caller.resumedRequest)
        .with ("outcome", toString (continuation.outcome))
        .with ("source", toString (continuation.source))
        .with ("service", continuation.at.service)
        .with ("software_version", continuation.at.version)
        .with ("age_milliseconds", stream ? inMilliseconds (now - stream->begun) : -1.0)
        .with ("milliseconds", inMilliseconds (now - began))
        .info();
}

} // namespace

auto findResumedStream (ServingState& state, RoutedRequest& request) -> Task<std::optional<Problem>>
{
    const auto began = BootClock::now();
    const auto& name = request.caller.resumedRequest;
    auto source = OriginSource::none;

    if (! name.empty())
    {
        const auto key = keyOf (state, request, name);
        request.resumedStream = state.streamOrigins.find (key, began);
        source = OriginSource::ownRecord;

        if (! request.resumedStream)
        {
            request.resumedStream = combine (co_await state.askForStream (key, request.caller.id));
            source = OriginSource::otherNode;
        }
    }

    if (! request.resumedStream)
        source = OriginSource::none;

    const auto registryEnd = BootClock::now() + registryWait;

    while (! request.resumedStream && BootClock::now() < registryEnd &&
           state.versions.needsRegistry (state.versionRegistry, BootClock::now()))
    {
        state.versionRegistry.isWanted = true;
        co_await pauseFor (state.loop, registryPollInterval);
    }

    const auto continuation = decide (state, request, request.resumedStream, source);
    state.metrics
        .counter (continuation.outcome == ContinuationOutcome::goesOn
                      ? "snowrudder_streams_resumed_total"
                      : "snowrudder_streams_not_resumed_total")
        .add();
    log (request, continuation, began);

    if (continuation.outcome != ContinuationOutcome::goesOn)
        co_return makeProblem (ErrorKind::streamNotResumable, std::string (toString (continuation.outcome)));

    request.service = continuation.at.service;
    request.requiredVersion = continuation.at.version;
    co_return std::nullopt;
}

auto isInStep (ServingState& state, const RoutedRequest& request) -> Task<bool>
{
    const auto key =
        request.resumedStream ? request.resumedStream->key : keyOf (state, request, request.caller.id);
    co_return isInStep (co_await state.askForStream (key, request.caller.id));
}

auto announceStream (ServingState& state, const RoutedRequest& request, const ReplicaInfo& replica) -> void
{
    const auto now = BootClock::now();

    if (request.resumedStream)
    {
        state.announceStream (*request.resumedStream);
        return;
    }

    // What isn't announced can't be taken up at another node, as the route says.
    if (request.caller.resumesStream || ! request.route->canResume)
        return;

    const StreamOrigin origin { versionHash (request.service, replica.version),
                                shortReplicaHash (replica.name) };
    LogLine ("stream_begun")
        .with ("request", request.caller.id)
        .with ("service", request.service)
        .with ("replica", replica.name)
        .with ("software_version", replica.version)
        .info();
    state.announceStream ({ keyOf (state, request, request.caller.id), origin, now, false });
}

} // namespace snowrudder
