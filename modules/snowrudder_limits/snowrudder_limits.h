/** @file
    snowrudder_limits: isolation of client accounts, so that the load of one does not slow down the others.

    - rate/   token buckets, and the limits of each client account
    - queue/  fair queues before the upstreams of a service, with early rejection of requests that would be late

    Nothing here does input or output or reads a clock. Depends on: snowrudder_core.
*/
#pragma once

#include "queue/FairQueue.h"
#include "rate/AccountLimiter.h"
#include "rate/TokenBucket.h"
