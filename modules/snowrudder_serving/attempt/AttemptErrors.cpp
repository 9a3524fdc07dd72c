#include "AttemptErrors.h"

#include "snowrudder_net/snowrudder_net.h"

#include <algorithm>
#include <utility>

namespace snowrudder
{

namespace
{

/** Retry delay for callers after a refusal by a replica or a connection: another node or replica may succeed at once.
*/
constexpr auto shortRetryDelay = 100ms;

/** Retry delay of a node that shuts down: another node can take the request at once. */
constexpr auto leavingRetryDelay = 10ms;

} // namespace

auto failureCauseOf (std::error_code error) -> FailureCause
{
    if (error == std::errc::timed_out)
        return FailureCause::timedOut;

    const auto isHttp =
        error.category() == std::error_code (make_error_code (http::error::end_of_stream)).category();
    const auto isEnd = error == std::error_code (make_error_code (http::error::end_of_stream)) ||
                       error == std::error_code (make_error_code (http::error::partial_message));

    return isHttp && ! isEnd ? FailureCause::invalid : FailureCause::cut;
}

auto attemptHealthOf (const AttemptOutcome& outcome) -> AttemptHealth
{
    switch (outcome.cause)
    {
        case FailureCause::connectFailed:
            return AttemptHealth::unreachable;
        case FailureCause::refused:
        case FailureCause::misdirected:
            return AttemptHealth::refused;
        case FailureCause::cut:
        case FailureCause::timedOut:
        case FailureCause::invalid:
        case FailureCause::failed:
            return AttemptHealth::failed;
        case FailureCause::noReplica:
        case FailureCause::versionGone:
        case FailureCause::pathLost:
        case FailureCause::moved:
        case FailureCause::abandoned:
        case FailureCause::deadline:
        case FailureCause::stopped:
        case FailureCause::nodeLeaving:
            break;
    }

    return AttemptHealth::neutral;
}

auto attemptFailedLine (std::string_view requestId,
                        std::uint32_t attempt,
                        const AttemptOutcome& outcome,
                        const RetryDecision& decision) -> LogLine
{
    LogLine line ("attempt_failed");
    line.with ("request", requestId)
        .with ("attempt", attempt)
        .with ("cause", toString (outcome.cause))
        .with ("again", decision.shouldRetry ? "yes" : "no");
    return line;
}

auto problemWhenStopped (bool mayHaveRun) -> Problem
{
    // Only a request that certainly has not run may be reported as such, with a hint to retry.
    return makeProblem (mayHaveRun ? ErrorKind::upstreamFailed : ErrorKind::crashesReplicas,
                        "replicas end when they run this request");
}

auto problemWhenLeaving (std::string detail) -> Problem
{
    return withRetry (makeProblem (ErrorKind::nodeLeaving, std::move (detail)), leavingRetryDelay);
}

auto problemAfter (const AttemptOutcome& outcome, const RetryDecision& decision) -> Problem
{
    return makeProblem (decision.kind, decision.ran,
                        "the last attempt: " + std::string (toString (outcome.cause)));
}

auto problemAfterLast (const LastFailure& last) -> Problem
{
    if (last.outcome.cause == FailureCause::stopped)
        return problemWhenStopped (last.mayHaveRun);

    if (last.outcome.cause == FailureCause::nodeLeaving)
        return last.mayHaveRun ? makeProblem (ErrorKind::deadlineExceeded, Ran::unknown, "this node's end")
                               : problemWhenLeaving ("this node's end");

    auto problem = problemAfter (last.outcome, last.decision);

    if (! last.mayHaveRun)
    {
        if (last.outcome.cause == FailureCause::versionGone)
            return problem;

        const auto isRefused = last.outcome.cause == FailureCause::refused;
        const auto kind = isRefused ? ErrorKind::upstreamRefused : ErrorKind::noReplica;
        return withRetry (makeProblem (kind, Ran::no, std::move (problem.detail)),
                          std::max<Duration> (shortRetryDelay, last.retryDelay));
    }

    if (last.isLate)
        return makeProblem (ErrorKind::deadlineExceeded, Ran::unknown, std::move (problem.detail));

    // The status of such a kind is a promise, whatever the problem's own `ran` says.
    const auto isPromise = errorDescription (problem.kind).ran == Ran::no;

    if (ranAfter (last.outcome) == Ran::no || (isPromise && ! last.isRepeatable))
        return makeProblem (ErrorKind::upstreamFailed, Ran::unknown, std::move (problem.detail));

    return problem;
}

} // namespace snowrudder
