/** @file
    snowrudder_routing: which replica gets a request.

    - replicas/  what a router knows of each replica and of how fast they read, and the table that all workers share
    - prefix/    block hashes of prompts, and which replicas are believed to hold which blocks
    - choice/    the choice itself: a free function over plain structs

    Nothing here does input or output or reads a clock. Depends on: snowrudder_core.
*/
#pragma once

#include "choice/ChooseReplica.h"
#include "prefix/PrefixIndex.h"
#include "prefix/PromptBlocks.h"
#include "replicas/PromptSpeed.h"
#include "replicas/ReplicaState.h"
#include "replicas/ReplicaTable.h"
