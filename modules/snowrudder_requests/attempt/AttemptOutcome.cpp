#include "AttemptOutcome.h"

namespace snowrudder
{

auto ranAfter (const AttemptOutcome& outcome) -> Ran
{
    if (outcome.stage == CallStage::notSent || outcome.cause == FailureCause::refused ||
        outcome.cause == FailureCause::misdirected)
        return Ran::no;

    return Ran::unknown;
}

auto metStaleEntry (const AttemptOutcome& outcome) -> bool
{
    return outcome.cause == FailureCause::connectFailed || outcome.cause == FailureCause::misdirected;
}

auto mayIndicateCrash (const AttemptOutcome& outcome) -> bool
{
    const auto mayHaveBegun = outcome.stage == CallStage::sent || outcome.stage == CallStage::receiving;
    return mayHaveBegun && outcome.cause == FailureCause::cut;
}

auto kindOf (FailureCause cause) -> ErrorKind
{
    switch (cause)
    {
        case FailureCause::noReplica:
        case FailureCause::connectFailed:
        case FailureCause::pathLost:
        case FailureCause::misdirected:
            return ErrorKind::noReplica;
        case FailureCause::refused:
            return ErrorKind::upstreamRefused;
        case FailureCause::timedOut:
            return ErrorKind::upstreamTimeout;
        case FailureCause::invalid:
            return ErrorKind::upstreamInvalid;
        case FailureCause::deadline:
            return ErrorKind::deadlineExceeded;
        case FailureCause::stopped:
            return ErrorKind::crashesReplicas;
        case FailureCause::versionGone:
            return ErrorKind::streamNotResumable;
        case FailureCause::nodeLeaving:
            return ErrorKind::deadlineExceeded;
        case FailureCause::cut:
        case FailureCause::failed:
        case FailureCause::moved:
        case FailureCause::abandoned:
            break;
    }

    return ErrorKind::upstreamFailed;
}

auto toString (FailureCause cause) -> std::string_view
{
    switch (cause)
    {
        case FailureCause::noReplica:
            return "no_replica";
        case FailureCause::versionGone:
            return "version_gone";
        case FailureCause::connectFailed:
            return "connect_failed";
        case FailureCause::pathLost:
            return "path_lost";
        case FailureCause::refused:
            return "refused";
        case FailureCause::misdirected:
            return "misdirected";
        case FailureCause::cut:
            return "cut";
        case FailureCause::timedOut:
            return "timed_out";
        case FailureCause::invalid:
            return "invalid";
        case FailureCause::failed:
            return "failed";
        case FailureCause::moved:
            return "moved";
        case FailureCause::abandoned:
            return "abandoned";
        case FailureCause::stopped:
            return "stopped";
        case FailureCause::nodeLeaving:
            return "node_leaving";
        case FailureCause::deadline:
            break;
    }

    return "deadline";
}

} // namespace snowrudder
