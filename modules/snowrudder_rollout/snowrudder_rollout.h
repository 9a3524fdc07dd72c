/** @file
    snowrudder_rollout: moving a service to another version of its software.

    - order/     an operators' order, where it stands, when it moves on
    - exposure/  which version may run a request
    - evidence/  what answers of both versions say of the new one

    Decisions are free functions over plain structs that read no clock. Depends on: snowrudder_core.
*/
#pragma once

#include "evidence/AnswerTally.h"
#include "evidence/SlowAnswerDetector.h"
#include "evidence/VersionVerdict.h"
#include "exposure/VersionRule.h"
#include "order/Rollout.h"
#include "order/RolloutSchedule.h"
#include "order/RolloutTable.h"
