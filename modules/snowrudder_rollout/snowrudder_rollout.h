/** @file
    snowrudder_rollout: moves a service to another version of its software.

    - order/     operators' orders, their stages, and when a roll-out advances
    - exposure/  which version may run a request
    - evidence/  judges the new version by the answers of both versions

    Decisions are free functions over plain structs and read no clock. Depends on: snowrudder_core.
*/
#pragma once

#include "evidence/AnswerTally.h"
#include "evidence/SlowAnswerDetector.h"
#include "evidence/VersionTrial.h"
#include "exposure/VersionRule.h"
#include "order/Rollout.h"
#include "order/RolloutSchedule.h"
#include "order/RolloutTable.h"
