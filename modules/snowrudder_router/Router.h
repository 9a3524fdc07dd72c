#pragma once

#include "state/RouterState.h"

#include "snowrudder_net/snowrudder_net.h"

#include <deque>
#include <memory>

namespace snowrudder
{

/** A router process: its workers, its listeners and its graceful shutdown. */
class Router
{
public:
    explicit Router (const schema::RouterSettings& settings);

    /** Destroys the coroutines that still wait in the event loops before the state that they refer to. See "What outlives
        what" in docs/ARCHITECTURE.md.
    */
    ~Router();

    Router (const Router&) = delete;
    auto operator= (const Router&) -> Router& = delete;

    /** Serves until a shutdown, by SIGTERM, SIGINT or a reclaim notice, is complete.

        @returns an error if the address can't be listened on
    */
    auto run() -> std::error_code;

private:
    auto listen() -> std::error_code;
    auto startBackground() -> void;
    auto stopOnRequest() -> Task<void>;
    /** Waits for a signal or a reclaim notice.

        @returns the drain time: how long requests in flight may take to finish
    */
    auto waitForStopRequest() -> Task<Duration>;
    auto waitUntilIdle (TimePoint end) -> Task<bool>;

    /** Declared first, to be destroyed last: sockets, timers and signals of the members below belong to its loops. */
    WorkerPool pool;
    RouterState state;
    std::deque<Worker> workers;
    /** Set by a signal, on the first worker's loop. */
    bool isStopRequested = false;
};

} // namespace snowrudder
