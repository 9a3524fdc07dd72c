#pragma once

#include "state/RouterState.h"

#include "snowrudder_net/snowrudder_net.h"

#include <deque>
#include <memory>

namespace snowrudder
{

/** One router process: its workers, its listeners, and a planned stop. */
class Router
{
public:
    explicit Router (const schema::RouterSettings& settings);

    /** Ends what still waits in the loops while all that it refers to is there: see "What outlives what" in
        docs/ARCHITECTURE.md.
    */
    ~Router();

    Router (const Router&) = delete;
    auto operator= (const Router&) -> Router& = delete;

    /** Serves until a planned stop (SIGTERM or SIGINT) has ended.

        @returns an error when the address can't be listened on
    */
    auto run() -> std::error_code;

private:
    auto listen() -> std::error_code;
    auto startBackground() -> void;
    auto stopOnRequest() -> Task<void>;
    /** Waits for a signal or a reclaim notice.

        @returns how long requests in flight may take to end by themselves
    */
    auto waitForStopRequest() -> Task<Duration>;
    auto waitUntilIdle (TimePoint end) -> Task<bool>;

    /** Destroyed last: sockets, timers and signals of the members below belong to its loops. */
    WorkerPool pool;
    RouterState state;
    std::deque<Worker> workers;
};

} // namespace snowrudder
