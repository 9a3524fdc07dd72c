/** @file
    snowrudder_chat: the parts of the OpenAI chat completion API that a router has to understand.

    - request/  parses callers' requests and builds the requests sent to engines
    - chunk/    parses the chunks streamed by engines and writes chunks and complete responses for callers

    Depends on: snowrudder_core, Boost.JSON.
*/
#pragma once

#include "chunk/ChatChunk.h"
#include "chunk/ChatWriter.h"
#include "request/ChatRequest.h"
