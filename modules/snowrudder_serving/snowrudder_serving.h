/** @file
    snowrudder_serving: the code that all faces of the router share, and the handling of requests that are routed by host and
    path. A face is a protocol front end: it decodes the requests of callers and encodes those to upstreams and to the platform.

    - configuration/  routes, services and client accounts in force, and the proof of their freshness
    - request/        a decoded request, and the upstreams' protocol that a face provides
    - gateway/        admission or refusal of a decoded request
    - queue/          queues and concurrency permits for a service's upstreams
    - crashes/        detection of requests that crash the replicas that run them
    - attempt/        what a failed step of an upstream call means for the attempt and for the replica's health
    - relay/          execution of one request: attempts, and the relay of the answer
    - store/          interface to the state store, and the watches that follow its contents
    - directory/      the directory of replicas, from lists that may be outdated or incomplete
    - streams/        which software version began a stream, so that it goes on at that version only
    - members/        the other nodes, and the messages that nodes send each other directly
    - limits/         account limits that are shared by all nodes
    - duties/         work that one node does for the whole fleet: leadership, usage reports
    - capacity/       how many replicas to order, and of which kind
    - node/           a node, assembled from the above, and what its shutdown means for requests

    Decisions are functions over plain structs, with the current time as a parameter. Depends on: core, net, routing, limits, requests, schema.
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
