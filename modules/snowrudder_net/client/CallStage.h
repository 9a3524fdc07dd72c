#pragma once

namespace snowrudder
{

/** How far a call to an upstream came. What may have run follows from it. */
enum class CallStage
{
    /** Not a byte has left. */
    notSent,
    /** Some bytes may have left: the upstream may run the request. */
    sending,
    /** All bytes have left. */
    sent,
    /** The answer's header is here. */
    receiving,
    /** The whole answer is here. */
    finished
};

} // namespace snowrudder
