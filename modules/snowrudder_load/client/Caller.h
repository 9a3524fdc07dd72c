#pragma once

#include "LoadRun.h"

#include <memory>
#include <random>

namespace snowrudder
{

/** The state of one sending thread: its event loop, its connections, and its share of the requests. */
struct CallerThread
{
    CallerThread (const schema::LoadSettings& workload, const LoadPlan& loadPlan, std::uint64_t streamSeed);

    const schema::LoadSettings& settings;
    const LoadPlan& plan;
    EventLoop loop { 1 };
    ConnectionPool pool { loop.get_executor() };
    RequestSource source;
    std::minstd_rand random;
    std::vector<tcp::endpoint> engines;
    std::vector<tcp::endpoint> services;
    std::uint64_t startedRequests = 0;
    std::uint64_t openRequests = 0;
};

/** Makes one request, checks its answer, and adds both to the result.

    @param direct  whether to send the request to an upstream instead of a router
*/
auto makeOneRequest (CallerThread& thread, LoadResult& result, PlannedRequest planned, bool direct)
    -> Task<void>;

} // namespace snowrudder
