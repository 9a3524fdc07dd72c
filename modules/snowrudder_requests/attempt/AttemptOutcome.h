#pragma once

#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_net/client/CallStage.h"

namespace snowrudder
{

/** Why an attempt on one replica came to nothing. */
enum class FailureCause
{
    /** No replica was usable. */
    noReplica,
    /** The connection could not be made. */
    connectFailed,
    /** The upstream answered that it does not run the request. */
    refused,
    /** Another replica has the upstream's address, and ran nothing. */
    misdirected,
    /** The connection ended before the answer was whole. */
    cut,
    /** The upstream took longer than allowed. */
    timedOut,
    /** The upstream's answer makes no sense. */
    invalid,
    /** The upstream answered with a failure of its own. */
    failed,
    /** The router ended it: the replica leaves, and the request goes on elsewhere. */
    moved,
    /** The router ended it: nobody wants the answer any more. */
    abandoned,
    /** The router ended it: the request's time is over. */
    deadline,
    /** The router did not send it: replicas end when they run the request. */
    stopped
};

/** One attempt that failed. */
struct AttemptOutcome
{
    CallStage stage = CallStage::notSent;
    FailureCause cause = FailureCause::connectFailed;
};

/** @returns whether a failed attempt may have run at the upstream. `no` only where that is proved: not a byte was
    sent, or the upstream itself refused.
*/
auto ranAfter (const AttemptOutcome& outcome) -> Ran;

/** @returns whether a failed attempt met a replica that is no longer there: nothing listens at its address, or another has it. */
auto metNobody (const AttemptOutcome& outcome) -> bool;

/** @returns whether a failed attempt may have failed because its replica ended: its connection ended after the request was sent. */
auto mayShowCrash (const AttemptOutcome& outcome) -> bool;

/** @returns the kind of error that a caller is told when no other attempt follows. */
auto kindOf (FailureCause cause) -> ErrorKind;

/** @returns one word for the log. */
auto toString (FailureCause cause) -> std::string_view;

} // namespace snowrudder
