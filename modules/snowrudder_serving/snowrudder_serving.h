/** @file
    snowrudder_serving: what every face of the router shares, and the path of requests that are routed by host and path.

    - configuration/  routes, services and client accounts in force, and how fresh they are known to be
    - request/        a caller's request once decoded, and what a face must tell of its upstreams' protocol
    - gateway/        from a decoded request to its admission or refusal
    - queue/          places before a service's upstreams
    - crashes/        which requests ran on replicas as these crashed
    - attempt/        what a failed step of a call says of the attempt and of the replica
    - relay/          the run of one request: attempts, and the answer passed on
    - store/          the state store as the product needs it, and the followers of what it holds
    - directory/      which replicas there are, from lists that may be late or have gaps
    - members/        the other nodes, and what nodes tell each other directly
    - limits/         limits that all nodes share
    - duties/         work that one node does for all: leadership, usage reports
    - capacity/       how many replicas to order, and of which kind
    - node/           the above put together

    Decisions are functions over plain structs that take `now`. Depends on: core, net, routing, limits, requests, schema.
*/
#pragma once

#include "attempt/AttemptErrors.h"
#include "crashes/CrashMonitor.h"
#include "crashes/SuspectRanking.h"
#include "members/CrashNotice.h"
#include "members/DatagramCodec.h"
#include "queue/PermitGuard.h"
#include "queue/ServiceQueues.h"
#include "relay/AnswerRelay.h"
