#pragma once

#include <string_view>

namespace snowrudder
{

/** A bug that is injected into a simulation, to show that the randomised tests detect it. */
enum class InjectedBug
{
    none,
    /** A slot's owner acts after its lease has expired. */
    actsAfterLeaseExpiry,
    /** A new owner treats every unknown key as new, although an earlier owner may have run its call. */
    forgetsEarlierKeys,
    /** A key is removed although its call may have run. */
    forgetsUncertainKeys,
    /** A restarted router registers while the lease of its earlier process is still valid. */
    registersTwice,
    /** A call that may have run is retried. */
    retriesUnsafely,
    /** A handover transfers the slot but not its keys. */
    handsOverNoKeys,
    /** A call whose response was lost is reported as "not run". */
    reportsNotRunFalsely,
    /** A stream that moves to another replica starts from its beginning. */
    restartsStreams,
    /** Late chunks of an abandoned attempt are accepted. */
    acceptsLateChunks,
    /** An outdated list, in which a leaving replica is live again, is accepted. */
    acceptsOutdatedLists,
    /** After a lost response the stored settings are not searched for the edit. */
    ignoresEditIds,
    /** The settings are written without comparing the revision that is replaced. */
    overwritesUnconditionally
};

inline constexpr auto lastInjectedBug = InjectedBug::overwritesUnconditionally;

/** @returns the name, for messages. */
constexpr auto toString (InjectedBug bug) -> std::string_view
{
    switch (bug)
    {
        case InjectedBug::none:
            return "none";
        case InjectedBug::actsAfterLeaseExpiry:
            return "acts-past-lease";
        case InjectedBug::forgetsEarlierKeys:
            return "forgets-earlier-keys";
        case InjectedBug::forgetsUncertainKeys:
            return "forgets-uncertain-keys";
        case InjectedBug::registersTwice:
            return "registers-twice";
        case InjectedBug::retriesUnsafely:
            return "repeats-what-may-have-run";
        case InjectedBug::handsOverNoKeys:
            return "hands-over-no-keys";
        case InjectedBug::reportsNotRunFalsely:
            return "tells-not-run-falsely";
        case InjectedBug::restartsStreams:
            return "streams-from-the-start";
        case InjectedBug::acceptsLateChunks:
            return "takes-late-pieces";
        case InjectedBug::acceptsOutdatedLists:
            return "believes-late-lists";
        case InjectedBug::ignoresEditIds:
            return "reads-no-marks";
        case InjectedBug::overwritesUnconditionally:
            return "writes-blindly";
    }

    return "?";
}

} // namespace snowrudder
