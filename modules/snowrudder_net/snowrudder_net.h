/** @file
    snowrudder_net: HTTP/1.1 as server and client on Boost.Asio coroutines.

    - concurrency/  event loops and worker threads, deadlines of socket operations, a signal that wakes a coroutine
    - server/       accepting connections and responding to requests, whole or streamed; problems as responses
    - client/       calls to upstreams in steps, so that a failed call's progress is known; signed calls between nodes
    - stream/       server-sent events

    Every operation that can fail returns a std::error_code. Depends on: snowrudder_core, Boost (Asio, Beast).
*/
#pragma once

#include "client/BodyEnd.h"
#include "client/BodyFraming.h"
#include "client/ConnectionPool.h"
#include "client/ProbeEndpoint.h"
#include "client/QueryText.h"
#include "client/SignedRequest.h"
#include "client/SimpleCall.h"
#include "client/UpstreamCall.h"
#include "concurrency/BootTimer.h"
#include "concurrency/EventLoop.h"
#include "concurrency/Pause.h"
#include "concurrency/ProcessSignals.h"
#include "concurrency/ResetConnection.h"
#include "concurrency/RunAll.h"
#include "concurrency/Signal.h"
#include "concurrency/Watchdog.h"
#include "concurrency/WorkerPool.h"
#include "server/EndToEndHeaders.h"
#include "server/Exchange.h"
#include "server/HttpServer.h"
#include "server/ProblemResponse.h"
#include "server/RequestMemory.h"
#include "server/RunServer.h"
#include "stream/EventBoundaries.h"
#include "stream/EventReader.h"
