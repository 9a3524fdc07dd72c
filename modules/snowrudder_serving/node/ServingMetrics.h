#pragma once

#include "snowrudder_core/snowrudder_core.h"

namespace snowrudder
{

/** Metrics of routed requests, looked up once by name. */
struct ServingMetrics
{
    explicit ServingMetrics (Metrics& metrics)
        : requests (metrics.counter ("snowrudder_routed_requests_total")),
          attempts (metrics.counter ("snowrudder_attempts_total")),
          retries (metrics.counter ("snowrudder_retries_total")),
          resumed (metrics.counter ("snowrudder_resumed_streams_total")),
          callersGone (metrics.counter ("snowrudder_callers_gone_total")),
          firstByte (metrics.histogram ("snowrudder_first_byte_seconds")),
          wholeAnswer (metrics.histogram ("snowrudder_whole_answer_seconds")),
          queueWait (metrics.histogram ("snowrudder_queue_wait_seconds"))
    {
    }

    Counter& requests;
    Counter& attempts;
    Counter& retries;
    Counter& resumed;
    Counter& callersGone;
    TimeHistogram& firstByte;
    TimeHistogram& wholeAnswer;
    TimeHistogram& queueWait;
};

} // namespace snowrudder
