/** @file
    snowrudder_requests: accepted requests, from acceptance to the end of their answers' keeping.

    - attempt/  what an attempt's failure proves about whether the request ran
    - crashes/  requests that end the replicas that run them: evidence, its bounds, the verdict
    - retry/    whether a failed attempt is followed by another, and the budgets of that
    - once/     who may run a keyed call: slots of the key space, their owners' tables, leases
    - record/   the part of an answer made so far, kept for resuming; the table of all records

    Decisions are free functions that read no clock. Depends on: snowrudder_core, snowrudder_chat, and the stages of
    a call from snowrudder_net.
*/
#pragma once

#include "attempt/AttemptOutcome.h"
#include "crashes/CrashTable.h"
#include "crashes/RequestFingerprint.h"
#include "crashes/SuspectPacing.h"
#include "once/KeySlots.h"
#include "once/KeyTable.h"
#include "once/SlotRecord.h"
#include "record/RequestRecord.h"
#include "record/RequestTable.h"
#include "record/StreamedAnswer.h"
#include "retry/AttemptCount.h"
#include "retry/RetryBudget.h"
#include "retry/RetryDecision.h"
