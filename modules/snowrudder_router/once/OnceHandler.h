#pragma once

#include "../plain/PlainCall.h"

namespace snowrudder
{

/** A call with an idempotency key that may run at most once. */
struct OnceCall
{
    PlainCallInput input;
    Uuid key;
    std::uint64_t contentHash = 0;
    /** The caller's unchanged request, to be forwarded to the router that owns the key. */
    HttpRequest received;
    /** Whether another router forwarded the call to this one as the key's owner. */
    bool isForwarded = false;
};

/** Makes a call with an idempotency key and stores the answer in the record, which ends as finished or failed. */
using KeyedRun = std::function<auto(std::shared_ptr<RequestRecord>)->Task<void>>;

/** Handles a call with an idempotency key that may run at most once. Makes the call if this router owns the key and the
    key is new, returns the answer of the first call if there is one, or forwards the call to the key's owner.

    @param run  makes the call
*/
auto handleOnce (RouterState& state, Worker& worker, Exchange& exchange, OnceCall call, KeyedRun run)
    -> Task<void>;

} // namespace snowrudder
