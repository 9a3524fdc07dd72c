#pragma once

namespace snowrudder
{

/** The progress of a call to an upstream. Determines whether the upstream may have run the request. */
enum class CallStage
{
    /** No byte of the request has been sent. */
    notSent,
    /** Part of the request may have been sent: the upstream may run it. */
    sending,
    /** The whole request has been sent. */
    sent,
    /** The response header has been received. */
    receiving,
    /** The whole response has been received. */
    finished
};

} // namespace snowrudder
