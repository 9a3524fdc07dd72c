/** @file
    snowrudder_load: a load generator that checks every answer.

    - workload/  the requests: prompts and calls drawn from a fixed seed
    - client/    sends the requests in an open loop, checks each answer against its request, resumes broken streams
    - report/    counts, latencies, recomputed tokens, cost

    Depends on: snowrudder_core, snowrudder_schema, snowrudder_settings, snowrudder_net, snowrudder_platform,
    snowrudder_fakes (the answer that a fake engine must give).
*/
#pragma once

#include "client/LoadRun.h"
#include "report/LoadReport.h"
#include "workload/RequestSource.h"
