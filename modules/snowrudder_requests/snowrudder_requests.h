/** @file
    snowrudder_requests: accepted requests, from acceptance until their answers are dropped.

    - attempt/  failed attempts, and whether they prove that the request did not run
    - crashes/  requests, and parts of prompts, that crash the replicas that run them: evidence, its bounds, the verdict
    - retry/    whether a failed attempt is retried, and the retry budgets
    - once/     which router may run a keyed call: slots of the key space, their owners' tables, leases
    - record/   the part of an answer received so far, kept for resuming; the table of all records

    Decisions are free functions that read no clock. Depends on snowrudder_core, snowrudder_chat, and the stages of a call in
    snowrudder_net.
*/
#pragma once

#include "attempt/AttemptOutcome.h"
#include "crashes/CrashRecords.h"
#include "crashes/CrashSubjects.h"
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
