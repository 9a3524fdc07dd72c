#pragma once

#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_net/client/CallStage.h"

namespace snowrudder
{

/** Why an attempt at a replica failed. */
enum class FailureCause
{
    /** No replica was usable. */
    noReplica,
    /** No replica of the software version that began the stream is listed any more. */
    versionGone,
    /** The connection could not be established. */
    connectFailed,
    /** The router lost its way to the upstream, while other routers reach it. */
    pathLost,
    /** The upstream answered that it did not run the request. */
    refused,
    /** Another replica answered at the address and did not run the request. */
    misdirected,
    /** The connection ended before the answer was complete. */
    cut,
    /** The upstream took longer than allowed. */
    timedOut,
    /** The upstream's answer is malformed. */
    invalid,
    /** The upstream answered with an error. */
    failed,
    /** The router ended the attempt because the replica is leaving; the request continues on another one. */
    moved,
    /** The router ended the attempt because no caller waits for the answer any more. */
    abandoned,
    /** The router ended the attempt because the request's deadline has passed. */
    deadline,
    /** The router did not send the request because it crashes the replicas that run it. */
    stopped,
    /** The router did not send the request, or ended the attempt, because it is about to end itself. */
    nodeLeaving
};

/** The outcome of a failed attempt: how far it came and why it failed. */
struct AttemptOutcome
{
    CallStage stage = CallStage::notSent;
    FailureCause cause = FailureCause::connectFailed;
};

/** @returns whether the upstream may have run a failed attempt. It is `no` only if that is proved: not a byte was sent,
    the upstream refused, or another replica answered.
*/
auto ranAfter (const AttemptOutcome& outcome) -> Ran;

/** @returns whether a failed attempt was made at a stale entry, whose replica no longer exists: nothing accepts
    connections at its address, or another replica has the address.
*/
auto metStaleEntry (const AttemptOutcome& outcome) -> bool;

/** @returns whether an attempt may have failed because the replica crashed: the connection ended after the request was
    sent.
*/
auto mayIndicateCrash (const AttemptOutcome& outcome) -> bool;

/** @returns the kind of error that is returned to the caller if the attempt is not retried. */
auto kindOf (FailureCause cause) -> ErrorKind;

/** @returns the name of a cause as it is written to the log. */
auto toString (FailureCause cause) -> std::string_view;

} // namespace snowrudder
