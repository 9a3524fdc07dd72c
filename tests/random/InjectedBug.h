#pragma once

#include <string_view>

namespace snowrudder
{

/** One promise broken on purpose, to show that the randomised run finds it. */
enum class InjectedBug
{
    none,
    /** An owner acts on a lapsed lease. */
    actsAfterLeaseExpiry,
    /** A new owner takes every unknown key for new. */
    forgetsEarlierKeys,
    /** A key is forgotten when its call may have run. */
    forgetsUncertainKeys,
    /** A restarted router registers while its earlier run's lease lives. */
    registersTwice,
    /** A call that may have run is made again. */
    retriesUnsafely,
    /** A handover gives the slot but not its keys. */
    handsOverNoKeys,
    /** A lost answer is told as "not run". */
    reportsNotRunFalsely,
    /** A stream goes on from its beginning on the next replica. */
    restartsStreams,
    /** A given-up attempt's late pieces are taken. */
    acceptsLateChunks,
    /** A list that calls a leaving replica live again is believed. */
    acceptsOutdatedLists,
    /** An edit of the settings is not looked for after a lost answer. */
    ignoresEditIds,
    /** The settings are written whatever stands there. */
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
