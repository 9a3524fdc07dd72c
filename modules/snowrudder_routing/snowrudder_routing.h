/** @file
    snowrudder_routing: the choice of the replica that a request is sent to.

    - replicas/  the state of each replica, estimates of prompt speed, and the table that all workers share
    - prefix/    block hashes of prompts, and which replicas are assumed to have which blocks cached
    - choice/    the choice of a replica: a free function over plain structs

    Nothing here does input or output or reads a clock. Depends on: snowrudder_core.
*/
#pragma once

#include "choice/ChooseReplica.h"
#include "prefix/PrefixIndex.h"
#include "prefix/PromptBlocks.h"
#include "replicas/PromptSpeed.h"
#include "replicas/ReplicaState.h"
#include "replicas/ReplicaTable.h"
